import type { EntrySettings, RoutingConfiguration } from "@marigoldstall/core.types";
import type { DispatchService } from "./dispatch-service.js";
import type { RequestState } from "./request-state.js";

/** State of the dispatch. */
export interface DispatchState {
    readonly availabilityZone: string;
    readonly retryBudget: EntrySettings["retryBudget"];
    /** VMs that share the retry budget. */
    readonly vmCount: number;
    readonly configuration: RoutingConfiguration | undefined;
    readonly services: ReadonlyMap<string, DispatchService>;
    readonly requests: ReadonlyMap<string, RequestState>;
    /** Request of each attempt under way. */
    readonly attemptRequests: ReadonlyMap<string, string>;
    /** Service of each known backend server. */
    readonly serverServices: ReadonlyMap<string, string>;
    /** Credits of the services of each split route. */
    readonly splitCredits: ReadonlyMap<string, readonly number[]>;
    readonly nextAttempt: number;
}
