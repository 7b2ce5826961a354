import type { VmListFaults } from "./vm-list-faults.js";

/** Decoded form of {@link VmListFaults}. */
export type VmListFaultSettings = typeof VmListFaults.Type;
