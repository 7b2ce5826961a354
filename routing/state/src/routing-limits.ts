/** Limits of routing. Those with a number in docs/design.md sections 7 to 9 have it from there. */
export const ROUTING_LIMITS = {
    retriesPerRequest: 2,
    retryShare: 0.1,
    // 10 % of a few requests is none: a quiet service would lose every request that a draining server sheds.
    retryFloor: 3,
    hedgeShare: 0.05,
    hedgeFloor: 1,
    budgetWindowSeconds: 10,
    // An attempt that ended before a byte was sent costs no execution. It may go elsewhere a bounded number of times.
    reselectionsPerRequest: 5,
    failuresToEject: 5,
    ejectionMs: 1000,
    ejectionMaxMs: 30_000,
    slowStartMs: 10_000,
    stragglerFactor: 3,
    silenceFloorMs: 1000,
    silenceTargetFactor: 3,
    suspectMs: 2000,
    peerPressureMs: 3000,
    pressureRise: 0.25,
    pressureFall: 0.1,
    // One late request in a second with few requests says nothing about a 99 % target.
    missedRequestsAtLeast: 2,
    queuedPerService: 1000,
    // Estimates change with age, so a waiting request is tried again even when no event arrives.
    queueRecheckMs: 10,
    // Share of the service's median latency.
    waitForSlotShare: 0.5,
    defaultSlots: 2,
    // A non-repeatable request that ran out of time waits this long for the result of its cancellation.
    cancellationMs: 1000,
    // The VM list may be 30 s late: only a list this much newer than the evidence counts against it.
    leavingRecheckMs: 60_000,
    hedgeSamplesAtLeast: 20,
    hedgeRecheckMs: 5,
    statisticsSeconds: 10,
    rememberedInstances: 4,
    probeCandidates: 16,
    retryAfterMs: 1000,
} as const;
