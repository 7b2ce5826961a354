import type { DispatchService } from "./dispatch-service.js";
import type { DispatchState } from "./dispatch-state.js";
import { isInUse } from "./is-in-use.js";

/** For how much longer every server of a service wants nothing from this VM; 0 if one takes requests or there is none. */
export const selectBackoffMs = (
    service: DispatchService,
    opts: { readonly atMs: number; readonly state: Pick<DispatchState, "evacuatedZones">; },
): number => {
    const { atMs, state } = opts;
    let soonestMs = Infinity;
    for (const server of service.servers.values()) {
        if (isInUse(server, state)) {
            soonestMs = Math.min(soonestMs, Math.max(0, server.backoffUntilMs - atMs));
        }
    }
    return Number.isFinite(soonestMs) ? soonestMs : 0;
};
