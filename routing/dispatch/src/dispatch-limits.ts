/** Durations, shares and counts of the dispatch reducer. Milliseconds unless the name says otherwise. */
export const DISPATCH_LIMITS = {
    // The slowness of a backend server's VM changes about this often, so an older report says nothing about it.
    slownessValidForMs: 150,
    // Assumed average slowness of a service's VMs before any report.
    initialSlowness: 1.5,
    // Weights of a new value in exponential moving averages.
    slownessWeight: 0.02,
    workWeight: 0.1,
    responseBytesWeight: 0.2,
    // Work of a request before any was measured, as a share of the route's latency target.
    initialWorkShare: 0.4,
    // A request that takes the last free slot of a server runs slower. The factor starts here and is then learned.
    initialLastSlotFactor: 1.6,
    lastSlotFactorWeight: 0.05,
    // A server whose report is older than this gets a preflight check: a health check right before a request is sent.
    // Within this time, a VM has become slow in about 1 of 100 cases.
    reportFreshForMs: 6,
    // Maximum number of checks per request, and by how much another server has to be better to replace a checked one.
    maxChecks: 4,
    moveMarginMs: 25,
    // A VM that has no load reports of its own asks its hub when the last answer is older than this, and decides by what
    // it knows if there is no answer within the second time. A round trip within a zone takes below 1 ms.
    loadsFreshForMs: 10,
    loadAnswerTimeoutMs: 8,
    // Servers in the answer to a load query. They are the best ones for the request, so that a few collisions with
    // other VMs still leave a choice.
    answeredServers: 16,
    // Servers with a valid report below which a VM also considers those that its hub has not recommended.
    minReportedServers: 4,
    // How long a hub counts the best free server of an answer as taken by the VM that asked, until it hears of the request
    // itself: a round trip, a check and the delay of updates.
    expectedSendValidForMs: 12,
    // Servers with idle connections that a load query names.
    maxConnectedServers: 8,
    // A server of the own zone that joined and got no request yet is taken first among equals, so that new capacity comes
    // into use. The share is above those of a new connection and a preference together.
    unusedBonusShare: 0.8,
    // An older report is ignored.
    reportValidForMs: 1_000,
    // Approximate time until a sent request reaches the server and counts in its load reports.
    sendTransitMs: 2,
    unreportedSendValidForMs: 400,
    // Permits that a limited server's bucket holds: one, and what the limit allows in this time.
    permitBurstMs: 250,
    // Permits for a server that takes fewer requests, or none: only the response to a request shows that a limit has ended.
    minPermitsPerSecond: 0.1,
    // A VM that gets no answer to a permit query within this time does not send the request. Round trips between zones of
    // a region take below 10 ms.
    permitTimeoutMs: 60,
    // How long a VM asks for no permit for a server after one was refused, at least, for each VM of the fleet, and at
    // most. With the first value, all VMs together ask for 500 permits a second.
    minPermitRetryPerVmMs: 2,
    maxPermitRetryMs: 2_000,
    // The delay is longer by up to this share, so that VMs do not all ask at the same moment.
    permitRetryJitterShare: 0.25,
    // Limits that are told to other VMs, and for how long it is told that one has ended.
    maxLimitFindings: 240,
    endedLimitToldForMs: 10_000,
    // A rejected caller is never told to wait longer than this.
    maxRetryAfterMs: 30_000,
    // A request waits for a better server as long as this multiple of its work still fits before its latency target.
    onTimeWorkFactor: 1.1,
    // A late request takes any free slot once no more than this multiple of its work is left until its deadline.
    nearDeadlineWorkFactor: 2.5,
    // Round trip to another availability zone until it is measured, and the weight of a longer measurement.
    initialCrossZoneRoundTripMs: 3,
    roundTripWeight: 0.02,
    // What a KB between zones counts: a response in the own zone may take this much longer. It stands for the price of
    // traffic between zones, as a transfer takes far less.
    crossZoneMsPerKb: 5,
    // Headers of a request and its response, and the preflight check.
    exchangeOverheadKb: 1,
    // New connections are billed. One is avoided if another server costs less than this share of the work more. The
    // value is below the cost of taking the last slot of a server.
    newConnectionShare: 0.45,
    // Each VM prefers different servers among equals, by up to this share of the work. VMs that choose at the same
    // moment then choose different servers, and each VM reuses servers to which it has a connection.
    preferenceShare: 0.3,
    // Each recent failure of a server counts as this much additional latency.
    failurePenaltyMs: 250,
    failureHalfLifeMs: 3_000,
    maxFailures: 8,
    unhealthyPenaltyMs: 300,
    // A server is ejected after this many failures in a row. Each further ejection lasts twice as long as the last.
    failuresBeforeEjection: 3,
    ejectionMs: 1_000,
    maxEjectionMs: 8_000,
    maxEjectedShare: 0.5,
    // Servers are slower by this factor in their first seconds, while they warm up.
    coldFactor: 1.6,
    // Random cost added to each estimate, so that VMs with the same information do not all choose the same server.
    costJitterMs: 8,
    // Assumed round trip between caller and daemon, which the daemon cannot measure.
    callerRoundTripMs: 20,
    // Time reserved before the deadline for returning the response.
    deadlineMarginMs: 10,
    // A hedge has to be expected to finish at least this long before the latency target.
    hedgeMarginMs: 10,
    // Share of slow VMs in a service, and the variation of work within a route, as the standard deviation of its
    // logarithm. Both determine how likely it is that an attempt without a response is slow.
    slowVmShare: 0.25,
    workLogDeviation: 0.3,
    // A hedge is sent when the first attempt is slow with at least this probability.
    minHedgeSlowChance: 0.3,
    // A VM counts as slow from this factor on.
    slowFactor: 2,
    // An attempt that takes this multiple of the duration expected from its server's report is slow or lost: with the
    // deviation above, 1 in 250 other attempts takes as long.
    hungFactor: 2.2,
    // A server that reports no request at all this long after one was sent has dropped it. Connecting takes up to 250 ms,
    // and a report is up to 100 ms older than its arrival.
    silentReportAfterMs: 500,
    // An attempt that takes more than this multiple of the duration expected from its server's report was dropped as well.
    // The work of a request is up to 7 times the mean, and a VM that is 5 times slower by turns takes 3 times as long.
    silentFactor: 21,
    // Leaving servers that are kept, that are told to other VMs, and for how long. A VM that starts later learns it from
    // the first response of the server.
    maxLeavingServers: 512,
    maxLeavingFindings: 64,
    leavingToldForMs: 30_000,
    // Servers whose registrations have lapsed, and for how long what they said is kept: Retry-After counts for 60 s at
    // most, and registrations come back within seconds after the store does. The target size is 2,200 servers.
    maxFormerServers: 4_096,
    formerServerKeptMs: 300_000,
    // For how long the end of a server explains a connection that broke before, and how many such attempts are kept.
    brokenAttemptKeptMs: 10_000,
    maxBrokenAttempts: 256,
    // A request under which this many servers have ended is held back for this time after the last one, and twice as long
    // after each further one, up to the second time.
    crashesBeforeHold: 3,
    requestHoldMs: 60_000,
    maxRequestHoldMs: 900_000,
    // A request that ran to its end within this time before a server ended under it is not to blame: it is one of many
    // equal ones, which a server that ends for another reason often has at that moment.
    recentCompletionMs: 10_000,
    // Requests kept by their fingerprint. Callers choose the paths, so both counts are bounded.
    maxSuspects: 256,
    maxCompletions: 128,
    // Servers kept for each suspect request, and suspects that are told to other VMs, for how long after the last crash.
    maxCrashesPerSuspect: 8,
    maxSuspectFindings: 32,
    suspectToldForMs: 20_000,
    // Share of its part of the retry budget that a VM uses. The rest is left for VMs that restart without knowing how
    // much has been used.
    retryBudgetShare: 0.8,
    // A stopping process sends a request only if this multiple of its work is left until the process ends: a VM is up to
    // five times slower than usual, and the last free slot costs time as well.
    stopWorkFactor: 6,
    // Time reserved before the end of the process for the response.
    processEndMarginMs: 100,
    // Attempts of one request that may fail before a byte is sent. More of them mean that no server can be reached.
    maxUnsentAttempts: 4,
    // Retry-After of rejected requests is spread over this range, so that callers do not return at the same time.
    minRetryAfterMs: 150,
    retryAfterJitterMs: 250,
    // The same for a request that servers turned away while others have room. A caller that waited longer would miss the
    // latency targets of about 300 ms.
    shedRetryAfterMs: 10,
    shedRetryAfterJitterMs: 40,
    // Half of the window before the last moment at which a hedge can be in time. Ticks come every 10 ms, so at least
    // one of them falls into the window.
    hedgeHalfWindowMs: 15,
} as const;
