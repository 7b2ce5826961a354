import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { ServerState } from "./server-state.js";

/** Estimated number of requests that run or are queued at a server. */
export const countOccupied = (server: ServerState, atMs: number): number => {
    const { load, measuredAtMs } = server;
    const isValid = load !== undefined && atMs - measuredAtMs <= DISPATCH_LIMITS.reportValidForMs;
    const reported = isValid ? load.inFlight + load.queued : 0;
    const sinceAtMs = isValid ? measuredAtMs - DISPATCH_LIMITS.sendTransitMs : -Infinity;
    let unreported = 0;
    for (const { sentAtMs, expectedUntilMs = Infinity } of server.unreportedSends) {
        const isCurrent = sentAtMs > sinceAtMs && atMs - sentAtMs <= DISPATCH_LIMITS.unreportedSendValidForMs;
        if (isCurrent && atMs <= expectedUntilMs) {
            unreported += 1;
        }
    }
    return Math.max(server.ownInFlight, reported + unreported);
};
