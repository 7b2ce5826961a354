/** Limits that a daemon applies to requests and connections. */
export interface RequestLimits {
    readonly headerBytes: number;
    /** A longer body is streamed, so it can be sent only once. */
    readonly bufferedBodyBytes: number;
    readonly bodyTimeoutMs: number;
    readonly connectionsPerCallerAddress: number;
    readonly connectionsPerBackendServer: number;
    readonly requestsInFlight: number;
    readonly defaultDeadlineMs: number;
}
