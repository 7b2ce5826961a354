import { countOccupied } from "./count-occupied.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchService } from "./dispatch-service.js";

interface RetryDelay {
    readonly minMs: number;
    /** Length of the range over which callers are spread. */
    readonly jitterMs: number;
}

// Whether most servers whose load is known have a free slot.
const hasRoom = (service: DispatchService, atMs: number): boolean => {
    let known = 0;
    let free = 0;
    for (const server of service.servers.values()) {
        const isUsable = !server.server.isDraining && !server.isLeaving && server.ejectedUntilMs <= atMs
            && server.backoffUntilMs <= atMs;
        if (isUsable && atMs - server.measuredAtMs <= DISPATCH_LIMITS.reportValidForMs) {
            known += 1;
            free += countOccupied(server, atMs) < server.server.slots ? 1 : 0;
        }
    }
    return known > 0 && free > known / 2;
};

/**
 * How long a rejected caller waits before it tries again: a moment if servers have room and only the ones tried turned
 * the request away, otherwise at least `waitMs`.
 */
export const selectRetryDelay = (
    service: DispatchService,
    opts: { readonly atMs: number; readonly waitMs: number; readonly isShed: boolean; },
): RetryDelay => {
    const { atMs, waitMs, isShed } = opts;
    return isShed && waitMs === 0 && hasRoom(service, atMs)
        ? { minMs: DISPATCH_LIMITS.shedRetryAfterMs, jitterMs: DISPATCH_LIMITS.shedRetryAfterJitterMs }
        : {
            minMs: Math.max(DISPATCH_LIMITS.minRetryAfterMs, waitMs),
            jitterMs: DISPATCH_LIMITS.retryAfterJitterMs,
        };
};
