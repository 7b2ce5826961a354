import { QUOTA_LIMITS } from "./quota-limits.js";
import type { WindowCount } from "./window-count.js";

/** Adds requests of which only the number in the last window is known, evenly over it. */
export const spreadOverWindow = (
    window: WindowCount,
    opts: { readonly atMs: number; readonly windowMs: number; readonly count: number; },
): WindowCount => {
    const { atMs, windowMs, count } = opts;
    const { sliceMs } = QUOTA_LIMITS;
    const lastSlice = Math.floor(atMs / sliceMs);
    const sliceCount = Math.max(1, Math.floor(windowMs / sliceMs));
    const counts = new Map(window.map(({ slice, count: known }) => [slice, known]));
    for (let slice = lastSlice - sliceCount + 1; slice <= lastSlice; slice += 1) {
        counts.set(slice, (counts.get(slice) ?? 0) + count / sliceCount);
    }
    return [...counts].sort(([a], [b]) => a - b).map(([slice, sum]) => ({ slice, count: sum }));
};
