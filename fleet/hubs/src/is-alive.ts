import { HUB_LIMITS } from "./hub-limits.js";
import type { KnownVm } from "./known-vm.js";

/** Whether a VM was heard of lately. */
export const isAlive = (vm: KnownVm, atMs: number): boolean => atMs - vm.aliveAtMs <= HUB_LIMITS.vmForgottenMs;
