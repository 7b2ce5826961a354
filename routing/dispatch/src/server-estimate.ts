import type { ServerState } from "./server-state.js";

/** Expected duration and cost of a request at one backend server. */
export interface ServerEstimate {
    readonly server: ServerState;
    readonly occupied: number;
    /** Expected duration, assuming that the last load report still holds at the start. */
    readonly reportBasedMs: number;
    readonly slowness: number;
    readonly takesLastSlot: boolean;
    readonly reportAgeMs: number;
    /** Expected time until the complete response is back, allowing for an outdated report. */
    readonly totalMs: number;
    /** `totalMs` plus penalties for failures and billed traffic; the same on every VM of the zone. */
    readonly commonCostMs: number;
    /** `commonCostMs` plus the penalty for a new connection, and this VM's preference. */
    readonly costMs: number;
}
