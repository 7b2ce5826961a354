/** A caller's request that the caller listener has validated. */
export interface RequestArrival {
    readonly requestId: string;
    readonly service: string;
    readonly className: string;
    readonly deadlineAtMs: number;
    /** Attempt number that the caller stated, or 1 if it stated none. */
    readonly callerAttempt: number;
    readonly bodyReplayable: boolean;
    /** Set for a non-repeatable request with an idempotency key. */
    readonly claim: { readonly key: string; readonly fingerprint: string; } | undefined;
}
