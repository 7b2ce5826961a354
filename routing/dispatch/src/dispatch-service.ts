import type { RollingCount } from "@marigoldstall/routing.state";
import type { HedgingState } from "./hedging-state.js";
import type { ServerMap } from "./server-map.js";

/** State of one service. */
export interface DispatchService {
    readonly name: string;
    readonly servers: ServerMap;
    /** Keys of waiting requests. */
    readonly queue: readonly string[];
    /** Keys of requests with an attempt in progress. */
    readonly running: ReadonlySet<string>;
    /** Estimated duration of a request on a VM at normal speed, by route. */
    readonly workMs: ReadonlyMap<string, number>;
    /** Number of responses that the estimated duration is based on, by route. */
    readonly workSamples: ReadonlyMap<string, number>;
    /** Average size of a response, by route. */
    readonly responseBytes: ReadonlyMap<string, number>;
    /** Average slowness factor of its VMs. */
    readonly slowness: number;
    /** Factor by which a request takes longer in the last free slot of a server. */
    readonly lastSlotFactor: number;
    /** Whether its servers report their load; assumed until one of them answers a preflight check without a report. */
    readonly reportsLoad: boolean;
    /** When this VM last asked its hub for the loads of the servers, and when it last got an answer. */
    readonly loadsQueriedAtMs: number;
    readonly loadsAnsweredAtMs: number;
    readonly requests: RollingCount;
    /** Sends beyond the first of each request: retries and hedges. */
    readonly resends: RollingCount;
    readonly hedging: HedgingState;
}
