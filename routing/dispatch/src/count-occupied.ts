import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { ServerState } from "./server-state.js";

/** Requests that are estimated to run or wait at a server. */
export const countOccupied = (server: ServerState, atMs: number): number => {
    const { load, measuredAtMs } = server;
    const isKnown = load !== undefined && atMs - measuredAtMs <= DISPATCH_LIMITS.loadLifeMs;
    const reported = isKnown ? load.inFlight + load.queued : 0;
    const since = isKnown ? measuredAtMs - DISPATCH_LIMITS.sendingLagMs : -Infinity;
    const unreported =
        server.sendings.filter(sentAtMs => sentAtMs > since && atMs - sentAtMs <= DISPATCH_LIMITS.sendingLifeMs).length;
    return Math.max(server.ownInFlight, reported + unreported);
};
