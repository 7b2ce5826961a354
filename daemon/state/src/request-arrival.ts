/** A caller's request that passed the checks of the caller port. */
export interface RequestArrival {
    readonly requestId: string;
    readonly service: string;
    readonly className: string;
    readonly deadlineAtMs: number;
    /** Attempt number stated by the caller, 1 for a direct request. */
    readonly callerAttempt: number;
    readonly bodyReplayable: boolean;
    /** Present for a non-repeatable request with an idempotency key. */
    readonly claim: { readonly key: string; readonly fingerprint: string; } | undefined;
}
