import type { BackendServerState } from "./backend-server-state.js";
import type { Mutable } from "./mutable.js";

/** Copies by naming each field: V8 takes up to 3 us for `{ ...server }` when the source is itself such a copy. */
export const copyBackendServer = (
    server: BackendServerState,
    opts: { readonly revision: number; },
): Mutable<BackendServerState> => ({
    revision: opts.revision,
    address: server.address,
    vmId: server.vmId,
    availabilityZone: server.availabilityZone,
    instanceId: server.instanceId,
    formerInstanceIds: server.formerInstanceIds,
    listedLeaving: server.listedLeaving,
    listedLeavingOutdated: server.listedLeavingOutdated,
    absentSinceListMs: server.absentSinceListMs,
    leavingInstanceIds: server.leavingInstanceIds,
    leavingListAsOfMs: server.leavingListAsOfMs,
    leavingDoubted: server.leavingDoubted,
    ownInFlight: server.ownInFlight,
    slots: server.slots,
    reportedOthers: server.reportedOthers,
    reportedAtMs: server.reportedAtMs,
    meanOthers: server.meanOthers,
    latencyMs: server.latencyMs,
    latencyAtMs: server.latencyAtMs,
    consecutiveFailures: server.consecutiveFailures,
    ejections: server.ejections,
    ejectedUntilMs: server.ejectedUntilMs,
    coldUntilMs: server.coldUntilMs,
    suspectUntilMs: server.suspectUntilMs,
    informedAtMs: server.informedAtMs,
});
