import type { Vm } from "@marigoldstall/core.types";
import type { BackendServerState } from "./backend-server-state.js";
import { ROUTING_LIMITS } from "./routing-limits.js";

/** A backend server of which nothing is known but its entry in the VM list. */
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
    leavingDoubted: false,
    ownInFlight: 0,
    slots: ROUTING_LIMITS.defaultSlots,
    reportedOthers: 0,
    reportedAtMs: undefined,
    meanOthers: 0,
    latencyMs: undefined,
    latencyAtMs: -Infinity,
    consecutiveFailures: 0,
    ejections: 0,
    ejectedUntilMs: undefined,
    coldUntilMs: opts.coldUntilMs,
    suspectUntilMs: -Infinity,
    informedAtMs: -Infinity,
});
