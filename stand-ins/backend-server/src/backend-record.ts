import type { RefusalRecord } from "./refusal-record.js";
import type { RunRecord } from "./run-record.js";

/** Everything that a backend server has done since it was created, across restarts. */
export interface BackendRecord {
    readonly service: string;
    readonly vmId: string;
    readonly address: string;
    readonly runs: readonly RunRecord[];
    readonly refusals: readonly RefusalRecord[];
    /** Requests to `/_load` and `/_health`. */
    readonly probes: readonly { readonly atMs: number; readonly path: string; }[];
    readonly drainingSinceMs: number | undefined;
    readonly connectionsAccepted: number;
}
