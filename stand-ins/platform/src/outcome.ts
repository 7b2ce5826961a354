/** Result of one request as seen by the caller. */
export interface Outcome {
    readonly requestId: string;
    readonly isIdempotent: boolean;
    readonly vmId: string;
    readonly sentAtMs: number;
    readonly endedAtMs: number;
    /** Undefined when the connection closed or the caller timed out before the response was complete. */
    readonly statusCode: number | undefined;
    readonly body: string;
}
