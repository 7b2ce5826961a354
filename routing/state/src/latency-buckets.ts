const FIRST_UPPER_BOUND_MS = 0.1;
// Adjacent buckets differ by 10 %, which is the error of a percentile; 145 of them reach above 90 s.
const GROWTH = 1.1;
const BUCKET_COUNT = 145;
const LOG_GROWTH = Math.log(GROWTH);

/** Logarithmic histogram buckets for percentiles in bounded memory. */
export const latencyBuckets = {
    count: BUCKET_COUNT,

    indexOf: (latencyMs: number): number =>
        latencyMs <= FIRST_UPPER_BOUND_MS
            ? 0
            : Math.min(BUCKET_COUNT - 1, Math.ceil(Math.log(latencyMs / FIRST_UPPER_BOUND_MS) / LOG_GROWTH)),

    /** Returns a copy of the counts with the latencies added. */
    add: <Counts extends Uint32Array | Float64Array>(counts: Counts, latenciesMs: readonly number[]): Counts => {
        const sums = counts.slice() as Counts;
        for (const latencyMs of latenciesMs) {
            const index = latencyBuckets.indexOf(latencyMs);
            sums[index] = (sums[index] ?? 0) + 1;
        }
        return sums;
    },

    /** Returns the upper bound of the bucket that contains the percentile; undefined without samples. */
    percentile: (counts: ArrayLike<number>, percentile: number): number | undefined => {
        let total = 0;
        for (let index = 0; index < counts.length; index += 1) {
            total += counts[index] ?? 0;
        }
        if (total <= 0) {
            return undefined;
        }
        const rank = total * percentile / 100;
        let cumulative = 0;
        for (let index = 0; index < counts.length; index += 1) {
            cumulative += counts[index] ?? 0;
            if (cumulative >= rank) {
                return FIRST_UPPER_BOUND_MS * GROWTH ** index;
            }
        }
        return FIRST_UPPER_BOUND_MS * GROWTH ** (BUCKET_COUNT - 1);
    },
};
