/** Intervals and limits of the ledger slice, in milliseconds. */
export const LEDGER_TIMING = {
    /** Range of key times below its bound for which the owner keeps keys. */
    keyRetentionMs: 600_000,
    /** Range of key times that is evicted at once. Shorter generations need more maps, longer ones more memory. */
    generationSpanMs: 60_000,
    /** How far above the bound a key time may be for its claim to wait for the bound, and how long the claim waits. */
    boundWaitMs: 2_000,
    /** A key time further ahead of the wall clock is attributed to the caller's clock and not to a bound that lags. */
    maxKeyTimeAheadMs: 10_000,
    // A claim or settlement without a reply is resent after the resend interval. The shorter retry delay applies after a
    // failed call or a reply that is not final.
    claimResendMs: 1_000,
    claimRetryMs: 200,
    settleResendMs: 1_000,
    settleRetryMs: 500,
    settleGiveUpMs: 120_000,
    /** Time after a request's deadline for its settlement to arrive, before the key is reported as unknown. */
    settleGraceMs: 15_000,
    /** How long a request waits for the outcome of an earlier one with the same key. */
    inProgressWaitMs: 5_000,
    /** The owner of an ended term that makes no decision for this long is assumed to be gone. */
    endedOwnerTimeoutMs: 2_000,
    /** How long a request waits while no daemon is known to own its key. */
    unknownOwnerTimeoutMs: 3_000,
    retryAfterMs: 1_000,
} as const;
