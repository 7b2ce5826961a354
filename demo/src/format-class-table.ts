import type { ClassReport } from "@marigoldstall-private/caller";
import { formatTable } from "./format-table.js";
import type { TargetsFile } from "./targets-file.js";

const HEADER = ["class", "sent", "completed", "not run", "unknown", "p50 ms", "p99 ms", "target", "rejected"];

/** Renders the outcomes and latencies of each class. Calls without a response count as unknown. */
export const formatClassTable = (
    reports: readonly ClassReport[],
    opts: { readonly targets: TargetsFile; },
): string =>
    formatTable([
        HEADER,
        ...reports.map(report => {
            const target = opts.targets.classes.find(candidate => candidate.name === report.name);
            const rejectedPercent = report.sent === 0 ? 0 : 100 * report.notRun / report.sent;
            return [
                report.name,
                String(report.sent),
                String(report.completed),
                String(report.notRun),
                String(report.unknown + report.noAnswer),
                report.p50Ms.toFixed(1),
                report.p99Ms.toFixed(1),
                `p${target?.lateness.percentile} ${target?.lateness.withinMs} ms`,
                `${rejectedPercent.toFixed(2)}% of ${target?.turnedAwayAtMostPercent}%`,
            ];
        }),
    ]);
