/** Intervals and limits of the ledger slice, in milliseconds. */
export const ledgerTiming = {
    /** Key time for which the owner remembers keys below its bound. */
    keyRetentionMs: 600_000,
    /** Key time that is forgotten at once. Shorter generations cost more maps, longer ones more memory. */
    generationMs: 60_000,
    /** How far ahead of the bound a key may be to wait for it, and how long it waits. */
    boundWaitMs: 2_000,
    /** Keys further ahead of the wall clock are the fault of the caller's clock, and not of a missing owner. */
    keyAheadMs: 10_000,
    claimResendMs: 1_000,
    claimRetryMs: 200,
    settleResendMs: 1_000,
    settleRetryMs: 500,
    settleGiveUpMs: 120_000,
    /** Time for the settlement after the request's deadline, before a key is reported as unknown. */
    settleGraceMs: 15_000,
    /** How long a request waits for the outcome of an earlier one with the same key. */
    inProgressWaitMs: 5_000,
    /** The owner of an ended term that does not answer for so long is taken to be gone. */
    endedOwnerMs: 2_000,
    /** How long a request waits while no daemon is known to decide about its key. */
    noOwnerMs: 3_000,
    retryAfterMs: 1_000,
} as const;
