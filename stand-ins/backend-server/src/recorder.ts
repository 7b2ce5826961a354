import type { BackendRecord } from "./backend-record.js";
import { nowMs } from "./now-ms.js";
import type { RefusalRecord } from "./refusal-record.js";
import type { RunRecord } from "./run-record.js";

/** Keeps what a backend server did, over all its instances. */
export class Recorder {
    drainingSinceMs: number | undefined;
    connectionsAccepted = 0;
    private readonly runs: RunRecord[] = [];
    private readonly refusals: RefusalRecord[] = [];
    private readonly probes: { readonly atMs: number; readonly path: string; }[] = [];

    /** Records the start of a run, and returns the function that records its end. */
    start(run: RunRecord): (ending: "finished" | "stopped") => void {
        const index = this.runs.push(run) - 1;
        return ending => {
            this.runs[index] = { ...run, ending, finishedAtMs: nowMs() };
        };
    }

    refuse(refusal: RefusalRecord): void {
        this.refusals.push(refusal);
    }

    probe(path: string): void {
        this.probes.push({ atMs: nowMs(), path });
    }

    record(opts: { readonly service: string; readonly vmId: string; readonly address: string; }): BackendRecord {
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
