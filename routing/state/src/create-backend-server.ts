import type { Vm } from "@marigoldstall/core.types";
import type { BackendServerState } from "./backend-server-state.js";
import { ROUTING_LIMITS } from "./routing-limits.js";

/** Creates the initial state of a backend server from its entry in the VM list. */
export const createBackendServer = (vm: Vm, opts: { readonly coldUntilMs: number; }): BackendServerState => ({
    revision: -1,
    address: vm.address,
    vmId: vm.vmId,
    availabilityZone: vm.availabilityZone,
    instanceId: undefined,
    formerInstanceIds: [],
    listedLeaving: vm.state === "leaving",
    listedLeavingOutdated: false,
    absentSinceListMs: undefined,
    leavingInstanceIds: [],
    leavingListAsOfMs: undefined,
    leavingContradicted: false,
    ownInFlight: 0,
    slots: ROUTING_LIMITS.defaultSlots,
    reportedOthersLoad: 0,
    reportedAtMs: undefined,
    meanOthersLoad: 0,
    latencyMs: undefined,
    latencyAtMs: -Infinity,
    consecutiveFailures: 0,
    consecutiveEjections: 0,
    ejectedUntilMs: undefined,
    coldUntilMs: opts.coldUntilMs,
    suspectUntilMs: -Infinity,
    lastObservedAtMs: -Infinity,
});
