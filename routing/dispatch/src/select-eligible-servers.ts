import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchService } from "./dispatch-service.js";
import type { ServerState } from "./server-state.js";

/** The servers of a service that may get a request. Ejected ones are left out only while enough others remain. */
export const selectEligibleServers = (
    service: DispatchService,
    opts: { readonly atMs: number; readonly triedInstanceIds?: readonly string[]; },
): readonly ServerState[] => {
    const { atMs, triedInstanceIds = [] } = opts;
    const candidates = [...service.servers.values()].filter(({ server, isLeaving }) =>
        !server.isDraining && !isLeaving && !triedInstanceIds.includes(server.instanceId)
    );
    const notEjected = candidates.filter(server => server.ejectedUntilMs <= atMs);
    return notEjected.length >= candidates.length * (1 - DISPATCH_LIMITS.maxEjectedShare) ? notEjected : candidates;
};
