import type { BackendFaultSettings } from "./backend-fault-settings.js";

interface Load {
    readonly inFlight: number;
    readonly queued: number;
    readonly slots: number;
}

/** Longest lag that can be set, plus slack. */
const HISTORY_MS = 120_000;

/** Load that a backend server reports about itself, which may lag or be false. */
export class LoadReportSource {
    private history: { readonly atMs: number; readonly load: Load; }[] = [];

    change(load: Load): void {
        const atMs = performance.now();
        this.history.push({ atMs, load });
        if ((this.history[0]?.atMs ?? atMs) < atMs - 2 * HISTORY_MS) {
            this.history = this.history.filter(entry => entry.atMs >= atMs - HISTORY_MS);
        }
    }

    report(load: Load, opts: { readonly faults: BackendFaultSettings; }): Load {
        const { reportedLoad, reportLagMs } = opts.faults;
        if (reportedLoad !== undefined) {
            return { ...reportedLoad, slots: load.slots };
        }
        if (reportLagMs === undefined) {
            return load;
        }
        const asOfMs = performance.now() - reportLagMs;
        return this.history.findLast(entry => entry.atMs <= asOfMs)?.load
            ?? { inFlight: 0, queued: 0, slots: load.slots };
    }
}
