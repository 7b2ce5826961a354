import type { VmInfo } from "./vm-info.js";

/** A VM with the time since it was last heard of, so that hubs do not keep a dead one alive for each other. */
export interface HeardVm {
    readonly info: VmInfo;
    readonly ageMs: number;
}
