import type { VmInfo } from "./vm-info.js";

/**
 * A VM and the time since it was last seen. The age prevents hubs from keeping a dead VM alive by announcing it to each
 * other.
 */
export interface VmLiveness {
    readonly info: VmInfo;
    readonly ageMs: number;
}
