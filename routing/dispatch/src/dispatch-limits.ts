/** Times, shares and counts of the dispatch. Milliseconds unless the name says otherwise. */
export const DISPATCH_LIMITS = {
    // The slowness of a backend server's VM is drawn anew about this often, so an older report says nothing of it.
    slownessLifeMs: 150,
    // What a service's VMs are taken to be like before they have told it.
    initialSlowness: 1.5,
    // Share of a new value in a moving average.
    slownessWeight: 0.02,
    workWeight: 0.1,
    bytesWeight: 0.2,
    // Work of a request before any was measured, as a share of the route's latency target.
    initialWorkShare: 0.4,
    // A server that has just one free slot left is slower; by how much is learnt, from this on.
    lastSlotFactor: 1.6,
    lastSlotWeight: 0.05,
    // A report older than this is renewed by a health check before a request is sent. Up to then a VM has turned slow
    // in about 1 case in 100.
    checkAgeMs: 6,
    // Servers that are asked for one request at most, and what another one has to be better by to be asked instead.
    maxChecks: 4,
    moveMarginMs: 25,
    // A report older than this is no report.
    loadLifeMs: 1_000,
    // A request needs about this long to reach a server and be counted there.
    sendingLagMs: 2,
    sendingLifeMs: 400,
    // A request that needs this much more than its work cannot be on time by waiting for a better server.
    hopeFactor: 1.1,
    // A late request takes any slot once it needs this factor of its work until its deadline.
    lastCallFactor: 2.5,
    // Round trip to another availability zone, and the time that each KB of a response takes to cross. Bytes between
    // zones are paid for, which the second figure stands for as well.
    zoneDistanceMs: 3,
    zoneMsPerKb: 1,
    // A new connection is paid for. It is avoided as long as another server costs less than this share of the work
    // more, which is below what the last slot of a server costs.
    newConnectionShare: 0.45,
    // Each VM prefers other servers among equals, by up to this share of the work. VMs that choose at the same moment
    // then take different ones, and a VM comes back to servers to which it has a connection.
    preferenceShare: 0.3,
    // A server that fails is avoided as if it were this much slower for each recent failure.
    failureMs: 250,
    failureHalfLifeMs: 3_000,
    failureMax: 8,
    unhealthyMs: 300,
    // Failures in a row after which a server gets no requests, and for how long; each further time doubles it.
    ejectionFailures: 3,
    ejectionMs: 1_000,
    maxEjectionMs: 8_000,
    maxEjectedShare: 0.5,
    // Servers are slower by this factor in their first seconds.
    coldFactor: 1.6,
    // Estimates this close to each other are equal, so that VMs that see the same do not all choose the same server.
    jitterMs: 8,
    // Way from the caller and back, of which the daemon knows nothing else.
    callerDistanceMs: 20,
    // Time for the answer to get back before the deadline.
    answerMs: 10,
    // A second send that would end this close to the target is not worth it.
    hedgeMarginMs: 10,
    // Share of slow VMs in a service, and by how much the work of requests of one route varies (standard deviation of
    // its logarithm). Both decide how likely an attempt without a response is a slow one.
    slowShare: 0.25,
    workSpread: 0.3,
    // A second send is made when the first is slow with this chance.
    hedgeChance: 0.3,
    // A VM counts as slow from this factor on.
    slowFactor: 2,
    // An attempt that takes this many times what its server's report said is slow or lost: with the spread above, one
    // in 250 others takes as long.
    hangFactor: 2.2,
    // A VM uses this share of its part of the retry budget; the rest is for VMs that come back and know of nothing.
    budgetShare: 0.8,
    // Sends that failed before a byte was sent; more of them in one request mean that nothing can be reached.
    maxUnsent: 4,
    // Callers that are told to come back are spread over this time.
    retryAfterMs: 150,
    retrySpreadMs: 250,
    // Running attempts are looked at this often at least. A second send goes out within two of these before it is too
    // late.
    recheckMs: 15,
} as const;
