/** Limits of the routing reducer. Numbers stated in docs/design.md sections 7 to 9 are taken from there. */
export const ROUTING_LIMITS = {
    maxRetriesPerRequest: 2,
    retryRatio: 0.1,
    // 10 % of a few requests is none: a service with little traffic would lose every request that a draining server
    // sheds.
    minRetries: 3,
    hedgeRatio: 0.05,
    minHedges: 1,
    budgetWindowSeconds: 10,
    // An attempt that ended before a byte was sent costs no execution, so it may be sent elsewhere this many times.
    maxReselectionsPerRequest: 5,
    failuresToEject: 5,
    baseEjectionMs: 1000,
    maxEjectionMs: 30_000,
    slowStartMs: 10_000,
    stragglerFactor: 3,
    minSilenceLimitMs: 1000,
    silenceLimitTargetFactor: 3,
    suspectDurationMs: 2000,
    peerPressureValidMs: 3000,
    pressureIncrement: 0.25,
    pressureDecrement: 0.1,
    // One late request in a second with few requests is no evidence of a missed 99 % target.
    minMissedRequests: 2,
    maxQueuedPerService: 1000,
    // Load estimates change with age, so a queued request is rechecked even when no event arrives.
    queueRecheckMs: 10,
    // Fraction of the service's median latency.
    slotWaitMedianRatio: 0.5,
    defaultSlots: 2,
    // How long a non-repeatable request waits for the result of its cancellation after its deadline.
    cancellationTimeoutMs: 1000,
    // The VM list may lag by 30 s, so only a list this much newer than the evidence contradicts it.
    leavingRecheckMs: 60_000,
    minHedgeSamples: 20,
    hedgeRecheckMs: 5,
    statisticsSeconds: 10,
    maxRememberedInstances: 4,
    maxProbeCandidates: 16,
    retryAfterMs: 1000,
} as const;
