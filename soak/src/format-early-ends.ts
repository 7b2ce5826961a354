import type { ProcessEnd } from "./process-end.js";

const BUCKET_MS = 10;

/** Returns a table of the processes that SIGHUP ended before they handled it, by time since their start. */
export const formatEarlyEnds = (ends: readonly ProcessEnd[], opts: { readonly startCount: number; }): string => {
    const counts = new Map<number, number>();
    const early = ends.filter(end => end.result === "SIGHUP" && !end.hadLoaded);
    for (const { sinceStartMs } of early) {
        const bucketMs = BUCKET_MS * Math.floor(sinceStartMs / BUCKET_MS);
        counts.set(bucketMs, (counts.get(bucketMs) ?? 0) + 1);
    }
    const rows = [...counts].sort(([a], [b]) => a - b).map(([bucketMs, count]) =>
        `| ${bucketMs} to ${bucketMs + BUCKET_MS} | ${count} |`
    );
    return [
        `SIGHUP ended ${early.length} of ${opts.startCount} processes before they handled it`,
        "",
        "| ms since start | ended |",
        "| --- | --- |",
        ...rows,
    ].join("\n");
};
