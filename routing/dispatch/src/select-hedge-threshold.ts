import type { DurationProfile } from "./duration-profile.js";
import { durationProfiles } from "./duration-profiles.js";
import { HEDGE_LIMITS } from "./hedge-limits.js";

/**
 * Time after which an attempt has taken longer than most of its kind. The quantile `1 - share` spends the share evenly on
 * the slowest requests; a lower one applies while the credit is unused.
 */
export const selectHedgeThreshold = (
    profile: DurationProfile,
    opts: { readonly share: number; readonly credit: number; },
): number => {
    const quantile = 1 - opts.share;
    const isUnused = opts.credit >= HEDGE_LIMITS.maxCredit;
    const lowered = isUnused ? Math.min(HEDGE_LIMITS.unusedCreditQuantile, quantile) : quantile;
    return durationProfiles.quantile(profile, Math.max(HEDGE_LIMITS.minQuantile, lowered));
};
