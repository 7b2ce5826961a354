import type { ServerEstimate } from "./server-estimate.js";

/** A hedge that is worth its extra work, and what it was decided by. */
export interface HedgeDecision {
    /** The best server. */
    readonly estimate: ServerEstimate;
    /** The server that was just checked, if it may get the hedge as well. */
    readonly checked: ServerEstimate | undefined;
    readonly candidateCount: number;
    /** Time that the first attempt has taken, and the time after which it is longer than most of its kind. */
    readonly firstMs: number;
    readonly thresholdMs: number;
    /** Expected duration of the hedge. */
    readonly hedgeMs: number;
    readonly winChance: number;
}
