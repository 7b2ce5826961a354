import type { VmListEntry } from "./vm-list-entry.js";

/** Response to `GET /vms`. */
export interface VmListResponse {
    /** Unix milliseconds at which the list was valid, according to the platform. */
    readonly asOfMs: number;
    readonly vms: readonly VmListEntry[];
}
