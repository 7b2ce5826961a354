/** Times that decide which peers count as live. */
export const MEMBERSHIP_TIMING = {
    /**
     * A beat reaches 14 daemons within 2 to 3 rounds of one second, so 5 s without a new beat is no accident of
     * the random choice of peers.
     */
    liveMs: 5_000,
    /** A started daemon waits this long for its peers before it tells who is live. */
    settleMs: 3_000,
    /** Ticks are 1 s apart; a longer gap means that this daemon was paused, not that its peers were silent. */
    pauseMs: 3_000,
    /** Peers that are neither listed nor live are forgotten after this time. */
    forgetMs: 60_000,
    /** Longer than the lag of the VM list (30 s), after which every daemon has the evidence from the list. */
    evidenceMs: 60_000,
} as const;
