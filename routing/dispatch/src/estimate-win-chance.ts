import type { DurationProfile } from "./duration-profile.js";
import { durationProfiles } from "./duration-profiles.js";

const MEDIAN = 0.5;
// Quantile one standard deviation above the median of a normal distribution.
const DEVIATION_QUANTILE = 0.84;
const MIN_LOG_DEVIATION = 0.05;
// Share of attempts that are assumed to go on for long, whatever was measured: hung servers, lost responses.
const HUNG_SHARE = 0.002;

// Approximation of the upper tail of the normal distribution, with an error below 0.001 in its probability.
const selectNormalTail = (deviations: number): number =>
    deviations <= 0 ? 0.5 : 0.5 * Math.exp(-0.717 * deviations - 0.416 * deviations ** 2);

// The longest of a few measured durations is soon exceeded by chance, so the tail of a log-normal distribution through the
// median bounds their number from below.
const countLonger = (profile: DurationProfile, elapsedMs: number): number => {
    const medianMs = durationProfiles.quantile(profile, MEDIAN);
    const logDeviation = Math.log(durationProfiles.quantile(profile, DEVIATION_QUANTILE) / medianMs);
    const deviations = Math.log(elapsedMs / medianMs) / Math.max(MIN_LOG_DEVIATION, logDeviation);
    const fitted = durationProfiles.count(profile) * selectNormalTail(deviations);
    return Math.max(fitted, durationProfiles.countAbove(profile, elapsedMs));
};

/** Probability that an attempt that has taken `elapsedMs` needs more than another `otherMs`. */
export const estimateWinChance = (
    profile: DurationProfile,
    opts: { readonly elapsedMs: number; readonly otherMs: number; },
): number => {
    const { elapsedMs, otherMs } = opts;
    const hung = durationProfiles.count(profile) * HUNG_SHARE;
    return (durationProfiles.countAbove(profile, elapsedMs + otherMs) + hung)
        / (countLonger(profile, elapsedMs) + hung);
};
