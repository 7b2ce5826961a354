/** Response of the caller listener to a request that it rejects. */
export interface Rejection {
    readonly statusCode: number;
    /** Value of the `Marigoldstall-Reason` header. */
    readonly reasonCode: string;
    readonly retryAfterMs?: number;
}
