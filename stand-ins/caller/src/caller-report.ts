import type { CallRecord } from "./call-record.js";
import type { ClassReport } from "./class-report.js";

/** Results of a run of {@link Caller}. */
export interface CallerReport {
    readonly seed: number;
    readonly classes: readonly ClassReport[];
    readonly calls: readonly CallRecord[];
}
