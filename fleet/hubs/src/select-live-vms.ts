import type { HubState } from "./hub-state.js";
import { isAlive } from "./is-alive.js";
import type { KnownVm } from "./known-vm.js";

/** The other VMs that are considered live. */
export const selectLiveVms = (state: HubState, atMs: number): readonly KnownVm[] =>
    [...state.vms.values()].filter(vm => isAlive(vm, atMs));
