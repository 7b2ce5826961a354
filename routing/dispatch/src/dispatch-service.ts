import type { RollingCount } from "@marigoldstall/routing.state";
import type { ServerState } from "./server-state.js";

/** State of one service. */
export interface DispatchService {
    readonly name: string;
    readonly servers: ReadonlyMap<string, ServerState>;
    /** Keys of waiting requests in the order of their arrival. */
    readonly queue: readonly string[];
    /** Keys of requests with an attempt under way. */
    readonly running: ReadonlySet<string>;
    /** Work of a request at the usual speed, by route. */
    readonly workMs: ReadonlyMap<string, number>;
    /** Bytes of a response, by route. */
    readonly responseBytes: ReadonlyMap<string, number>;
    /** Slowness of its VMs, as a factor, on average. */
    readonly slowness: number;
    /** How much longer a request takes that gets the last slot of a server. */
    readonly lastSlotFactor: number;
    /** Its servers tell their load; taken to be so until one of them answers a check without it. */
    readonly tellsLoad: boolean;
    readonly requests: RollingCount;
    /** Sends beyond the first of a request. */
    readonly resends: RollingCount;
}
