import type { RollingCount } from "./rolling-count.js";

// Ten seconds of the window, the current second, and one more so that a sum over eleven seconds is exact.
const RETAINED_SECONDS = 12;

/** Operations on {@link RollingCount}. */
export const rollingCounts = {
    empty: { second: 0, counts: new Array<number>(RETAINED_SECONDS).fill(0) } as RollingCount,

    add: (rolling: RollingCount, atMs: number): RollingCount => {
        const second = Math.max(Math.floor(atMs / 1000), rolling.second);
        const counts = rolling.counts.slice();
        const elapsedSeconds = Math.min(second - rolling.second, RETAINED_SECONDS);
        for (let step = 0; step < elapsedSeconds; step += 1) {
            counts[(second - step) % RETAINED_SECONDS] = 0;
        }
        const index = second % RETAINED_SECONDS;
        counts[index] = (counts[index] ?? 0) + 1;
        return { second, counts };
    },

    /** Returns the sum over the second of `atMs` and the `seconds - 1` before it. */
    sum: (rolling: RollingCount, atMs: number, seconds: number): number => {
        const last = Math.floor(atMs / 1000);
        let sum = 0;
        for (let second = last - seconds + 1; second <= last; second += 1) {
            if (second >= 0 && second <= rolling.second && second > rolling.second - RETAINED_SECONDS) {
                sum += rolling.counts[second % RETAINED_SECONDS] ?? 0;
            }
        }
        return sum;
    },
};
