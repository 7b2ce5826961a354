import type { VmState } from "./vm-state.js";

/** One entry of the platform's VM list. `role` is `entry` or the name of a service. */
export interface Vm {
    readonly vmId: string;
    readonly role: string;
    readonly address: string;
    readonly availabilityZone: string;
    readonly state: VmState;
}
