/** Timeouts and retention times of membership, in milliseconds. */
export const MEMBERSHIP_TIMING = {
    /**
     * A peer without a new beat for this long is not live. A beat reaches 14 daemons within 2 to 3 rounds of one
     * second, so the random choice of peers alone does not cause a gap of 5 s.
     */
    livenessTimeoutMs: 5_000,
    /** Longest time that a started daemon waits for beats of its peers before it reports the members. */
    startupWaitMs: 3_000,
    /** Ticks are 1 s apart; a gap above this means that this daemon was paused, not that its peers were silent. */
    pauseThresholdMs: 3_000,
    /** Peers that are neither listed nor live are removed after this time. */
    forgetAfterMs: 60_000,
    /** Exceeds the lag of the VM list (30 s), after which the list itself gives every daemon the evidence. */
    evidenceRetentionMs: 60_000,
} as const;
