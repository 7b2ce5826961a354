import type { DispatchService } from "./dispatch-service.js";

/** For how much longer every server of a service wants nothing from this VM; 0 if one takes requests or there is none. */
export const selectBackoffMs = (service: DispatchService, atMs: number): number => {
    let soonestMs = Infinity;
    for (const { server, isLeaving, backoffUntilMs } of service.servers.values()) {
        if (!server.isDraining && !isLeaving) {
            soonestMs = Math.min(soonestMs, Math.max(0, backoffUntilMs - atMs));
        }
    }
    return Number.isFinite(soonestMs) ? soonestMs : 0;
};
