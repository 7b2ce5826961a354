export { ListedVm } from "./listed-vm.js";
export type { VmEntry } from "./vm-entry.js";
export type { VmListAnswer } from "./vm-list-answer.js";
export type { VmListFaultSettings } from "./vm-list-fault-settings.js";
export { VmListFaults } from "./vm-list-faults.js";
export type { VmListOptions } from "./vm-list-options.js";
export { VmListStandIn } from "./vm-list-stand-in.js";
