/** Record of a request that a backend server started to run. Times are Unix milliseconds. */
export interface RunRecord {
    readonly requestId: string;
    readonly idempotencyKey: string | undefined;
    readonly attempt: number | undefined;
    readonly service: string;
    readonly vmId: string;
    readonly instanceId: string;
    readonly method: string;
    readonly path: string;
    readonly bodyDigest: string;
    readonly receivedAtMs: number;
    readonly startedAtMs: number;
    readonly finishedAtMs: number | undefined;
    /** `stopped` when a cancellation, a closed connection or a crash ended the run early. */
    readonly ending: "finished" | "stopped" | undefined;
}
