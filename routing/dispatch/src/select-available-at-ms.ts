import type { ServerState } from "./server-state.js";

/** From when on this VM may send requests to a server: what the server asked for and its limit allow it. */
export const selectAvailableAtMs = ({ backoffUntilMs, noPermitUntilMs }: ServerState): number =>
    Math.max(backoffUntilMs, noPermitUntilMs);
