import { build } from "hdr-histogram-js";
import type { CallOutcome } from "./call-outcome.js";
import type { CallRecord } from "./call-record.js";
import type { ClassReport } from "./class-report.js";

const MICROSECONDS_PER_MS = 1000;
const MAX_LATENCY_MICROSECONDS = 600_000_000;

/** Computes the statistics of one class. */
export const summarizeClass = (
    calls: readonly CallRecord[],
    opts: { readonly name: string; },
): ClassReport => {
    const includedCalls = calls.filter(call => call.className === opts.name && !call.warmUp && call.copy === 0);
    const histogram = build({ highestTrackableValue: MAX_LATENCY_MICROSECONDS, numberOfSignificantValueDigits: 3 });
    for (const call of includedCalls) {
        if (call.outcome === "completed") {
            const microseconds = Math.round(call.latencyMs * MICROSECONDS_PER_MS);
            histogram.recordValue(Math.min(Math.max(microseconds, 1), MAX_LATENCY_MICROSECONDS));
        }
    }
    const count = (outcome: CallOutcome) => includedCalls.filter(call => call.outcome === outcome).length;
    const percentileMs = (percentile: number) => histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
    return {
        name: opts.name,
        sent: includedCalls.length,
        completed: count("completed"),
        notRun: count("not-run"),
        unknown: count("unknown"),
        noAnswer: count("no-answer"),
        p50Ms: percentileMs(50),
        p99Ms: percentileMs(99),
        p999Ms: percentileMs(99.9),
        maxMs: histogram.maxValue / MICROSECONDS_PER_MS,
    };
};
