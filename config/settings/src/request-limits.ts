/** Limits on what callers may use at one daemon. */
export interface RequestLimits {
    readonly headerBytes: number;
    /** A longer body is streamed and sent only once. */
    readonly bufferedBodyBytes: number;
    readonly bodyTimeoutMs: number;
    readonly connectionsPerCallerAddress: number;
    readonly connectionsPerBackendServer: number;
    readonly requestsInFlight: number;
    readonly defaultDeadlineMs: number;
}
