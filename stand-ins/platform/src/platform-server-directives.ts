/** What a backend server of the tests asks of its callers. */
export interface PlatformServerDirectives {
    readonly limitPerSecond?: number;
    readonly isLeaving?: boolean;
    /** If set, the server rejects all requests and asks for this time. */
    readonly retryAfterS?: number;
}
