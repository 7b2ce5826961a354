/** Intervals and limits of share ownership, in milliseconds. */
export const OWNERSHIP_TIMING = {
    /** How far bounds are ahead of the wall clock: how long a share stays usable without its guardian and the log. */
    lookaheadMs: 6_000,
    /** Largest difference between wall clocks that a guardian tolerates when it promises. */
    clockSkewMs: 2_000,
    /** Longest time for which promises can raise bounds while the log is unavailable. */
    capAheadMs: 3_600_000,
    extendIntervalMs: 2_000,
    /** A guardian that misses two requests in a row still receives the third before it takes over. */
    promiseIntervalMs: 1_000,
    takeOverAfterMs: 3_000,
    guardianLostAfterMs: 3_000,
    /** Covers the few seconds in which the VM list and the heartbeats disagree after a change of members. */
    rebalanceAfterMs: 5_000,
    /** How long this daemon assigns no share to a daemon that failed as owner or guardian. */
    suspectForMs: 60_000,
    expiredAfterMs: 1_000,
    expiredRankDelayMs: 3_000,
    bootstrapAfterMs: 500,
    bootstrapRankDelayMs: 2_000,
    /**
     * The stream can only be restarted when all caps of the lost records have passed. Caps are at most the retention
     * time plus the lookahead ahead of the writer's clock; the rest allows for clock errors.
     */
    restartMarginMs: 60_000,
    /** How far the first term of a share reaches back, to cover keys created before the share had an owner. */
    bootstrapLookbackMs: 60_000,
    /** Range of key times for which ended terms are kept. */
    termRetentionMs: 600_000,
    /** A gap of this length between ticks means that this daemon was paused, not that the others were silent. */
    pauseThresholdMs: 1_500,
    logStaleAfterMs: 10_000,
    appendRetryMs: 1_000,
    /** An undecided `assign` record with basis `expired` or `bootstrap` is dropped and reevaluated after this time. */
    appendGiveUpMs: 5_000,
} as const;
