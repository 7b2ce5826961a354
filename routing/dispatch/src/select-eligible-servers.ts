import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchService } from "./dispatch-service.js";
import type { DispatchState } from "./dispatch-state.js";
import { isInUse } from "./is-in-use.js";
import type { ServerState } from "./server-state.js";

/** The servers of a service that may get a request. Ejected ones are left out only while enough others remain. */
export const selectEligibleServers = (
    service: DispatchService,
    opts: {
        readonly atMs: number;
        readonly state: Pick<DispatchState, "evacuatedZones">;
        readonly triedInstanceIds?: readonly string[];
    },
): readonly ServerState[] => {
    const { atMs, state, triedInstanceIds = [] } = opts;
    const candidates = [...service.servers.values()].filter(server =>
        isInUse(server, state) && !triedInstanceIds.includes(server.server.instanceId)
    );
    const notEjected = candidates.filter(server => server.ejectedUntilMs <= atMs);
    return notEjected.length >= candidates.length * (1 - DISPATCH_LIMITS.maxEjectedShare) ? notEjected : candidates;
};
