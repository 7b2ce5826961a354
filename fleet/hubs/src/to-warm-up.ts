import type { WarmUp } from "@marigoldstall/core.types";
import type { WarmUpUpdate } from "./warm-up-update.js";

/** Converts what another VM tells of a warm-up to times of the own clock. */
export const toWarmUp = (update: WarmUpUpdate | undefined, atMs: number): WarmUp | undefined =>
    update && { coldUntilMs: atMs + update.remainingMs, statedAtMs: atMs - update.ageMs };
