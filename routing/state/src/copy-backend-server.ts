import type { BackendServerState } from "./backend-server-state.js";
import type { Mutable } from "./mutable.js";

/** Copies field by field: V8 takes up to 3 us for `{ ...server }` when the source is itself a spread copy. */
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
    leavingContradicted: server.leavingContradicted,
    ownInFlight: server.ownInFlight,
    slots: server.slots,
    reportedOthersLoad: server.reportedOthersLoad,
    reportedAtMs: server.reportedAtMs,
    meanOthersLoad: server.meanOthersLoad,
    latencyMs: server.latencyMs,
    latencyAtMs: server.latencyAtMs,
    consecutiveFailures: server.consecutiveFailures,
    consecutiveEjections: server.consecutiveEjections,
    ejectedUntilMs: server.ejectedUntilMs,
    coldUntilMs: server.coldUntilMs,
    suspectUntilMs: server.suspectUntilMs,
    lastObservedAtMs: server.lastObservedAtMs,
});
