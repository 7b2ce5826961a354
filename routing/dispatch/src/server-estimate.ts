import type { ServerState } from "./server-state.js";

/** What a request is expected to meet at one backend server. */
export interface ServerEstimate {
    readonly server: ServerState;
    readonly occupied: number;
    /** Time until the whole response is back. */
    readonly totalMs: number;
    /** `totalMs` and what else speaks against the server: failures, paid connections and bytes. */
    readonly costMs: number;
}
