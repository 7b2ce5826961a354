import type { ClassReport } from "../class-report.js";
import type { ClassSummary } from "./class-summary.js";

const sum = (reports: readonly ClassReport[], key: "arrived" | "completed" | "late" | "rejected" | "unknown"): number =>
    reports.reduce((total, report) => total + report[key], 0);

const percent = (part: number, whole: number): number | undefined => whole === 0 ? undefined : 100 * part / whole;

const summarize = (reports: readonly ClassReport[], target: ClassReport): ClassSummary => {
    const [arrived, completed, late, rejected, unknown] = [
        sum(reports, "arrived"),
        sum(reports, "completed"),
        sum(reports, "late"),
        sum(reports, "rejected"),
        sum(reports, "unknown"),
    ];
    const { percentile, withinMs } = target.lateness;
    const onTimePercent = percent(completed - late, completed);
    const turnedAwayPercent = percent(rejected, completed + rejected + unknown);
    const latencies = reports.flatMap(report => report.atTargetPercentileMs ?? []);
    const reasons: string[] = [];
    if (onTimePercent !== undefined && onTimePercent < percentile) {
        reasons.push(
            `${onTimePercent.toFixed(2)} % of responses within ${withinMs} ms, target ${percentile} %`,
        );
    }
    if (turnedAwayPercent !== undefined && turnedAwayPercent > target.turnedAwayAtMostPercent) {
        reasons.push(
            `${
                turnedAwayPercent.toFixed(2)
            } % of requests rejected, target at most ${target.turnedAwayAtMostPercent} %`,
        );
    }
    if (unknown > 0) {
        reasons.push(`${unknown} requests ended with an unknown outcome`);
    }
    return {
        service: target.service,
        className: target.className,
        percentile,
        withinMs,
        turnedAwayAtMostPercent: target.turnedAwayAtMostPercent,
        arrived,
        completed,
        late,
        rejected,
        unknown,
        onTimePercent,
        turnedAwayPercent,
        worstAtTargetPercentileMs: latencies.length === 0 ? undefined : Math.max(...latencies),
        reasons,
    };
};

/** Sums the reports of all daemons. Counts of late responses can be summed, unlike percentiles. */
export const summarizeClasses = (reports: readonly ClassReport[]): readonly ClassSummary[] => {
    const groups = new Map<string, ClassReport[]>();
    for (const report of reports) {
        const key = `${report.service} ${report.className}`;
        groups.set(key, [...groups.get(key) ?? [], report]);
    }
    return [...groups].sort(([left], [right]) => left < right ? -1 : 1).flatMap(([, group]) => {
        const [target] = group;
        return target === undefined ? [] : [summarize(group, target)];
    });
};
