import type { BackendFaultSettings } from "./backend-fault-settings.js";

interface Load {
    readonly inFlight: number;
    readonly queued: number;
    readonly slots: number;
}

/** How long past loads are kept: the longest expected `reportLagMs` plus a margin. */
const HISTORY_MS = 120_000;

/** Produces the load report of a backend server, which faults can delay or falsify. */
export class LoadReporter {
    private history: { readonly atMs: number; readonly load: Load; }[] = [];

    recordLoad(load: Load): void {
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
