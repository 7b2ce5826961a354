/** One HTTP request of a caller in the simulation. */
export interface PlannedCall {
    readonly requestId: string;
    readonly key: string;
    readonly fingerprint: string;
    readonly atMs: number;
    readonly deadlineAtMs: number;
    /** Number of the daemon that receives the request. */
    readonly target: number;
    /** Time after which the caller goes away, if it does. */
    readonly cancelAfterMs: number | undefined;
}
