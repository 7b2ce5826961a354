import type { ServerState } from "./server-state.js";

/** From when on this VM may send requests to a server: what the server asked for and its limit allow it. */
export const selectAvailableAtMs = ({ leftAloneUntilMs, heldBackUntilMs }: ServerState): number =>
    Math.max(leftAloneUntilMs, heldBackUntilMs);
