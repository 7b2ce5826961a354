import type { WarmUp } from "@marigoldstall/core.types";
import type { WarmUpUpdate } from "./warm-up-update.js";

/** Tells other VMs what a server stated about its warm-up. The clocks of VMs differ, so it contains durations only. */
export const createWarmUpUpdate = (warmUp: WarmUp, atMs: number): WarmUpUpdate => ({
    remainingMs: Math.max(0, warmUp.coldUntilMs - atMs),
    ageMs: atMs - warmUp.statedAtMs,
});
