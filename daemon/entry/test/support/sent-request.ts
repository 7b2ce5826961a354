/** What a caller saw of one request. */
export interface SentRequest {
    readonly requestId: string;
    readonly habit: string;
    readonly workMs: number;
    /** When the last byte was sent. */
    readonly sentAtMs: number;
    /** Whether an earlier request had no response when this one was sent, or one that closes the connection. */
    readonly isBehindAnother: boolean;
    /** Undefined if the connection ended before the complete response. */
    readonly statusCode: number | undefined;
    readonly bodyStart: string;
    readonly endedAtMs: number;
}
