import type { ColdBounds, EntrySettings, RoutingConfiguration } from "@marigoldstall/core.types";
import type { BrokenAttempt } from "./broken-attempt.js";
import type { DispatchService } from "./dispatch-service.js";
import type { FormerServer } from "./former-server.js";
import type { LeavingStart } from "./leaving-start.js";
import type { RequestState } from "./request-state.js";
import type { SuspectRequest } from "./suspect-request.js";

/** State of the dispatch reducer. */
export interface DispatchState {
    readonly availabilityZone: string;
    readonly retryBudget: EntrySettings["retryBudget"];
    /** Hedges that are allowed, as a share of the requests. With 0, hedges are limited by the retry budget alone. */
    readonly hedgeShare: number;
    /** Undefined if requests to cold servers are not limited. */
    readonly coldBounds: ColdBounds | undefined;
    /** Number of VMs that share the retry budget. */
    readonly vmCount: number;
    /** Minimum time between two load queries for a service; undefined while this VM has no hub to ask. */
    readonly loadQueryIntervalMs: number | undefined;
    /** Measured round trip to the backend servers of each zone. */
    readonly roundTripMsByZone: ReadonlyMap<string, number>;
    readonly configuration: RoutingConfiguration | undefined;
    /** Age of the configuration up to which API keys count; undefined if its age does not matter. */
    readonly keyLeaseMs: number | undefined;
    /** Whether the quotas of tenants are kept over all VMs. */
    readonly limitsTenants: boolean;
    /** Zones to whose servers no request is sent. */
    readonly evacuatedZones: ReadonlySet<string>;
    readonly services: ReadonlyMap<string, DispatchService>;
    readonly requests: ReadonlyMap<string, RequestState>;
    /** Attempts in progress only. */
    readonly requestKeysByAttempt: ReadonlyMap<string, string>;
    readonly servicesByInstance: ReadonlyMap<string, string>;
    /**
     * Starts of servers that have said that they are about to end, by instance id. They count whatever the registrations
     * say, until the server starts again.
     */
    readonly leavingStarts: ReadonlyMap<string, LeavingStart>;
    /** Servers whose registrations have lapsed, by instance id, the one that lapsed or spoke last at the end. */
    readonly formerServers: ReadonlyMap<string, FormerServer>;
    /** Round-robin credits of the destinations of each split route. */
    readonly splitCreditsByRoute: ReadonlyMap<string, readonly number[]>;
    readonly nextAttempt: number;
    /** When the process ends. Infinity until it is asked to stop. */
    readonly processEndsAtMs: number;
    /** Attempts with a broken connection, by attempt id, until it is clear whether their servers have ended. */
    readonly brokenAttempts: ReadonlyMap<string, BrokenAttempt>;
    /** Requests under which servers have ended, by fingerprint. */
    readonly suspects: ReadonlyMap<string, SuspectRequest>;
    /** When requests last ran to their end, by fingerprint; the newest ones only. */
    readonly completions: ReadonlyMap<string, number>;
}
