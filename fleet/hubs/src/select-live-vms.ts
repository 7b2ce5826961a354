import { HUB_LIMITS } from "./hub-limits.js";
import type { HubState } from "./hub-state.js";
import type { KnownVm } from "./known-vm.js";

/** The other VMs that were heard of lately. */
export const selectLiveVms = (state: HubState, atMs: number): readonly KnownVm[] =>
    [...state.vms.values()].filter(vm => atMs - vm.aliveAtMs <= HUB_LIMITS.vmForgottenMs);
