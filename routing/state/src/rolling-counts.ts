import type { RollingCount } from "./rolling-count.js";

// Ten seconds of a window, one more for the second under way, and one so that a sum over eleven is exact.
const SECONDS_KEPT = 12;

/** Functions on {@link RollingCount}. */
export const rollingCounts = {
    empty: { second: 0, counts: new Array<number>(SECONDS_KEPT).fill(0) } as RollingCount,

    add: (rolling: RollingCount, atMs: number): RollingCount => {
        const second = Math.max(Math.floor(atMs / 1000), rolling.second);
        const counts = rolling.counts.slice();
        const passed = Math.min(second - rolling.second, SECONDS_KEPT);
        for (let step = 0; step < passed; step += 1) {
            counts[(second - step) % SECONDS_KEPT] = 0;
        }
        const index = second % SECONDS_KEPT;
        counts[index] = (counts[index] ?? 0) + 1;
        return { second, counts };
    },

    /** Sum over the second of `atMs` and the `seconds - 1` before it. */
    sum: (rolling: RollingCount, atMs: number, seconds: number): number => {
        const last = Math.floor(atMs / 1000);
        let sum = 0;
        for (let second = last - seconds + 1; second <= last; second += 1) {
            if (second >= 0 && second <= rolling.second && second > rolling.second - SECONDS_KEPT) {
                sum += rolling.counts[second % SECONDS_KEPT] ?? 0;
            }
        }
        return sum;
    },
};
