/** An HTTP request of a caller in the simulation. */
export interface PlannedCall {
    readonly requestId: string;
    readonly key: string;
    readonly fingerprint: string;
    readonly atMs: number;
    readonly deadlineAtMs: number;
    /** Index of the daemon that receives the request. */
    readonly daemonIndex: number;
    /** Time after which the caller disconnects; undefined if it stays connected. */
    readonly cancelAfterMs: number | undefined;
}
