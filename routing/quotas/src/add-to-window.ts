import { QUOTA_LIMITS } from "./quota-limits.js";
import type { WindowCount } from "./window-count.js";

// Takes requests back, the oldest first: which ones they were is not known, and later ones count for longer.
const subtract = (window: WindowCount, count: number): WindowCount => {
    let left = count;
    return window.flatMap(({ slice, count: known }) => {
        const taken = Math.min(known, left);
        left -= taken;
        return known > taken ? [{ slice, count: known - taken }] : [];
    });
};

/** Adds requests to the current slice, or takes some back if the count is negative, and drops slices that are too old. */
export const addToWindow = (
    window: WindowCount,
    opts: { readonly atMs: number; readonly windowMs: number; readonly count: number; },
): WindowCount => {
    const { atMs, windowMs, count } = opts;
    const { sliceMs } = QUOTA_LIMITS;
    const firstSlice = Math.floor((atMs - windowMs) / sliceMs);
    const isOutdated = (window[0]?.slice ?? firstSlice) < firstSlice;
    const current = isOutdated ? window.filter(({ slice }) => slice >= firstSlice) : window;
    if (count <= 0) {
        return subtract(current, -count);
    }
    const slice = Math.floor(atMs / sliceMs);
    const last = current.at(-1);
    return last?.slice === slice
        ? [...current.slice(0, -1), { slice, count: last.count + count }]
        : [...current, { slice, count }];
};
