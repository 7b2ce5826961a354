import type { VmInfo } from "./vm-info.js";

/** Sorts VMs by hub priority: highest link bandwidth first, then most CPU cores, then VM id. */
export const compareHubPriority = (a: VmInfo, b: VmInfo): number =>
    b.linkMbps - a.linkMbps || b.cores - a.cores || (a.vmId < b.vmId ? -1 : a.vmId > b.vmId ? 1 : 0);
