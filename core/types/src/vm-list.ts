import type { Vm } from "./vm.js";

/** The platform's list of VMs, which may lag behind the VMs themselves. */
export interface VmList {
    readonly asOfMs: number;
    readonly vms: readonly Vm[];
}
