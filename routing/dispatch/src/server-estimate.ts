import type { ServerState } from "./server-state.js";

/** What a request is expected to meet at one backend server. */
export interface ServerEstimate {
    readonly server: ServerState;
    readonly occupied: number;
    /** Time that the request takes there if the last load report holds at its start. */
    readonly steadyMs: number;
    readonly slowness: number;
    readonly takesLastSlot: boolean;
    readonly reportAgeMs: number;
    /** Time until the whole response is back, as reports may be outdated. */
    readonly totalMs: number;
    /** `totalMs` and what else speaks against the server: failures, paid connections and bytes, and the VM's preference. */
    readonly costMs: number;
}
