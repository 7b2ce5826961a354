import type { BackendRecord } from "./backend-record.js";
import { nowMs } from "./now-ms.js";
import type { RefusalRecord } from "./refusal-record.js";
import type { RunRecord } from "./run-record.js";

/** Collects the record of a backend server across restarts. */
export class Recorder {
    drainingSinceMs: number | undefined;
    connectionsAccepted = 0;
    private readonly runs: RunRecord[] = [];
    private readonly refusals: RefusalRecord[] = [];
    private readonly probes: { readonly atMs: number; readonly path: string; }[] = [];

    /** Records the start of a run. The returned function records its end. */
    recordRun(run: RunRecord): (ending: "finished" | "stopped") => void {
        const index = this.runs.push(run) - 1;
        return ending => {
            this.runs[index] = { ...run, ending, finishedAtMs: nowMs() };
        };
    }

    recordRefusal(refusal: RefusalRecord): void {
        this.refusals.push(refusal);
    }

    recordProbe(path: string): void {
        this.probes.push({ atMs: nowMs(), path });
    }

    toRecord(opts: { readonly service: string; readonly vmId: string; readonly address: string; }): BackendRecord {
        return {
            ...opts,
            runs: [...this.runs],
            refusals: [...this.refusals],
            probes: [...this.probes],
            drainingSinceMs: this.drainingSinceMs,
            connectionsAccepted: this.connectionsAccepted,
        };
    }
}
