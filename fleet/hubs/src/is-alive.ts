import { HUB_LIMITS } from "./hub-limits.js";
import type { KnownVm } from "./known-vm.js";

/** Whether a VM was seen recently enough to be considered live. */
export const isAlive = (vm: KnownVm, atMs: number): boolean => atMs - vm.lastSeenAtMs <= HUB_LIMITS.vmExpiryMs;
