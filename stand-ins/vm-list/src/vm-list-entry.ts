import type { ListedVm } from "./listed-vm.js";

/** Decoded form of {@link ListedVm}. */
export type VmListEntry = typeof ListedVm.Type;
