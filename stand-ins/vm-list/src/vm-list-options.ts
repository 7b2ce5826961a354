import type { VmListEntry } from "./vm-list-entry.js";

/** Options of {@link VmListStandIn}. */
export interface VmListOptions {
    /** Port on 127.0.0.1; 0 selects a free port. */
    readonly port?: number | undefined;
    readonly vms?: readonly VmListEntry[] | undefined;
}
