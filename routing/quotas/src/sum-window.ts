import { QUOTA_LIMITS } from "./quota-limits.js";
import type { WindowCount } from "./window-count.js";

/** Number of requests in the last window. A slice counts as a whole while any part of it is in the window. */
export const sumWindow = (window: WindowCount, opts: { readonly atMs: number; readonly windowMs: number; }): number => {
    const firstSlice = Math.floor((opts.atMs - opts.windowMs) / QUOTA_LIMITS.sliceMs);
    return window.reduce((sum, { slice, count }) => slice >= firstSlice ? sum + count : sum, 0);
};
