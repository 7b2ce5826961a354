import type { VmEntry } from "./vm-entry.js";

/** Options of the VM list stand-in. */
export interface VmListOptions {
    /** Port on 127.0.0.1; 0 picks a free one. */
    readonly port?: number | undefined;
    readonly vms?: readonly VmEntry[] | undefined;
}
