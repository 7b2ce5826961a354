/** A response to a caller that waits for its turn on the connection. */
export interface CallerReply {
    readonly statusCode: number;
    /** Names and values in turn. */
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
    /** Whether the headers delimit the body. Otherwise the end of the connection does. */
    readonly isFramed: boolean;
}
