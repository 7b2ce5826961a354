export { ListedVm } from "./listed-vm.js";
export type { VmListEntry } from "./vm-list-entry.js";
export type { VmListFaultSettings } from "./vm-list-fault-settings.js";
export { VmListFaults } from "./vm-list-faults.js";
export type { VmListOptions } from "./vm-list-options.js";
export type { VmListResponse } from "./vm-list-response.js";
export { VmListStandIn } from "./vm-list-stand-in.js";
