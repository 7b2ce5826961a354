/** Returns a percentile by the nearest-rank method, or 0 for an empty array. */
export const percentile = (values: readonly number[], opts: { readonly percent: number; }): number => {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.max(Math.ceil(sorted.length * opts.percent / 100) - 1, 0)] ?? 0;
};
