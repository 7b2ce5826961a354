/** How a request is answered that was not passed on, or whose response cannot be relayed. */
export interface Rejection {
    readonly statusCode: number;
    readonly retryAfterMs?: number | undefined;
}
