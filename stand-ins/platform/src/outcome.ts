/** What a caller saw of one request. */
export interface Outcome {
    readonly requestId: string;
    readonly isIdempotent: boolean;
    readonly vmId: string;
    readonly sentAtMs: number;
    readonly endedAtMs: number;
    /** Absent when the connection ended without an answer. */
    readonly statusCode: number | undefined;
    readonly body: string;
}
