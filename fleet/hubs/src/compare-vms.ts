import type { VmInfo } from "./vm-info.js";

/** Order in which VMs become hubs: those with the widest link and most processor time first. */
export const compareVms = (a: VmInfo, b: VmInfo): number =>
    b.linkMbps - a.linkMbps || b.cores - a.cores || (a.vmId < b.vmId ? -1 : a.vmId > b.vmId ? 1 : 0);
