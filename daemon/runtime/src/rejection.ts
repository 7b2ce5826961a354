/** Why the caller port does not take a request. */
export interface Rejection {
    readonly statusCode: number;
    /** Code that the caller sees in `Marigoldstall-Reason`. */
    readonly reasonCode: string;
    readonly retryAfterMs?: number;
}
