/** Intervals and limits of the ownership slice, in milliseconds. */
export const ownershipTiming = {
    /** How far bounds run ahead of the wall clock: the time that a share serves without its guardian and the log. */
    lookaheadMs: 6_000,
    /** Largest difference between wall clocks that a guardian tolerates when it promises. */
    clockSkewMs: 2_000,
    /** Longest time that promises can raise bounds while the log is down. */
    capAheadMs: 3_600_000,
    extendIntervalMs: 2_000,
    /** A guardian that misses two of these in a row still hears the third before it takes over. */
    promiseIntervalMs: 1_000,
    takeOverAfterMs: 3_000,
    guardianLostAfterMs: 3_000,
    /** The VM list and the heartbeats disagree for a few seconds after a change of members. */
    rebalanceAfterMs: 5_000,
    /** A daemon that failed as owner or guardian gets no share from this daemon for so long. */
    suspectForMs: 60_000,
    expiredAfterMs: 1_000,
    expiredRankDelayMs: 3_000,
    bootstrapAfterMs: 500,
    bootstrapRankDelayMs: 2_000,
    /**
     * The stream can only be restarted when all caps of the lost records are over. Caps run at most the retention
     * time plus the lookahead ahead of the writer's clock; the rest is an allowance for wrong clocks.
     */
    restartMarginMs: 60_000,
    /** Key time for which a new share answers for keys that were made before it had an owner. */
    bootstrapPastMs: 60_000,
    /** Key time for which ended terms stay known. */
    termRetentionMs: 600_000,
    /** A longer time between two ticks means that this daemon was paused, and not that the others were silent. */
    pauseMs: 1_500,
    logStaleAfterMs: 10_000,
    appendRetryMs: 1_000,
    /** An undecided `assign` record that binds neither owner nor guardian is given up, and judged anew, after this. */
    appendGiveUpMs: 5_000,
} as const;
