import type { VmEntry } from "./vm-entry.js";

/** Answer of `GET /vms`. */
export interface VmListAnswer {
    /** Unix time at which the list was true, as the platform knows it. */
    readonly asOfMs: number;
    readonly vms: readonly VmEntry[];
}
