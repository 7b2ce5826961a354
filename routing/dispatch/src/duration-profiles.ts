import type { DurationProfile } from "./duration-profile.js";

// 64 buckets from 1 ms to 65 s, four for each doubling: 19 % wide. Shorter and longer durations count in the first and the
// last bucket. A profile takes 512 bytes.
const BUCKET_COUNT = 64;
const BUCKETS_PER_DOUBLING = 4;
// Each response takes this share off the weight of all earlier ones, so that about 256 count.
const DECAY = 1 / 256;
// Without any longer duration, an attempt that has taken this long is expected to take as long again.
const UNKNOWN_TAIL_FACTOR = 2;

const sum = (weights: readonly number[]): number => weights.reduce((total, weight) => total + weight, 0);

const positionOf = (durationMs: number): number =>
    Math.min(BUCKET_COUNT - 1e-9, Math.log2(Math.max(1, durationMs)) * BUCKETS_PER_DOUBLING);

const durationAt = (position: number): number => 2 ** (position / BUCKETS_PER_DOUBLING);

const decay = (weights: readonly number[]): number[] => weights.map(weight => weight * (1 - DECAY));

/** Operations on {@link DurationProfile}. */
export const durationProfiles = {
    empty: { weights: new Array<number>(BUCKET_COUNT).fill(0) } as DurationProfile,

    /** Adds a measured duration. */
    add: (profile: DurationProfile, durationMs: number): DurationProfile => {
        const weights = decay(profile.weights);
        const bucket = Math.floor(positionOf(durationMs));
        weights[bucket] = (weights[bucket] ?? 0) + 1;
        return { weights };
    },

    /**
     * Adds an attempt that was cancelled without a response after `durationMs`. Its duration would have been longer, so its
     * weight is spread over the buckets above like the durations there. Counted as it is, it would hide slow servers.
     */
    addCancelled: (profile: DurationProfile, durationMs: number): DurationProfile => {
        const bucket = Math.floor(positionOf(durationMs));
        const above = sum(profile.weights.slice(bucket + 1));
        if (above < 1) {
            return durationProfiles.add(profile, durationMs * UNKNOWN_TAIL_FACTOR);
        }
        const weights = decay(profile.weights);
        return { weights: weights.map((weight, index) => index > bucket ? weight + weight / above : weight) };
    },

    /** Weighted number of responses. */
    count: (profile: DurationProfile): number => sum(profile.weights),

    /** Weighted number of responses that took longer than `durationMs`. */
    countAbove: (profile: DurationProfile, durationMs: number): number => {
        const position = positionOf(durationMs);
        const bucket = Math.floor(position);
        const share = 1 - (position - bucket);
        return (profile.weights[bucket] ?? 0) * share + sum(profile.weights.slice(bucket + 1));
    },

    /** Duration in ms that is exceeded by `1 - quantile` of the responses. */
    quantile: (profile: DurationProfile, quantile: number): number => {
        let remaining = sum(profile.weights) * quantile;
        for (const [bucket, weight] of profile.weights.entries()) {
            if (weight > 0 && weight >= remaining) {
                return durationAt(bucket + Math.max(0, remaining) / weight);
            }
            remaining -= weight;
        }
        return durationAt(BUCKET_COUNT);
    },
};
