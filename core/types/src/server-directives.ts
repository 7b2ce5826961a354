/** What a backend server asks of its callers in a response. */
export interface ServerDirectives {
    /** Requests per second that the server takes from all VMs together. Undefined if it states no limit. */
    readonly requestLimitPerSecond: number | undefined;
    /** Whether the server is about to end and wants no new requests. */
    readonly isLeaving?: boolean;
    /** For how long the server, which rejected the request, wants nothing from this VM. */
    readonly retryAfterMs?: number;
}
