/** Durations, shares and counts of the quotas reducer. Milliseconds unless the name says otherwise. */
export const QUOTA_LIMITS = {
    // Requests are counted in slices of this length.
    sliceMs: 100,
    // Use of a quota above which each request is granted by a hub. The rest is what a tenant with five times its rate can
    // use until all VMs know: the news takes up to 300 ms through two hubs and their heartbeats.
    meteredShare: 0.7,
    // Share of what may run beyond a quota that is used. The rest covers reports that are on their way, and requests that
    // wait between admission and server: with 0.7, 822 ran in a window in which 812 may (107 VMs, twice the quota).
    toleranceShare: 0.35,
    // What a tenant may use at once, as a share of the limit of a window. The rest comes evenly over the window, so that a
    // tenant that floods the fleet leaves servers to others at any moment.
    burstShare: 0.2,
    // Use of the burst above which each request is granted by a hub.
    meteredBurstShare: 0.5,
    // A member whose hub was not heard for this time asks for each request. It covers the takeover by another hub.
    meteringValidForMs: 450,
    // A query without an answer is repeated once after this time, then the request is rejected.
    queryTimeoutMs: 60,
    maxQueries: 2,
    // After all VMs have restarted, the first hub acts after half a second. Until a process has heard one, its requests
    // wait for it: other VMs would tell their callers nothing else.
    firstHubTimeoutMs: 800,
    // Each count is reported again within this time, so that a lost datagram is repaired by the next one.
    repeatReportMs: 200,
    maxReportedTenants: 100,
    // After a peer was silent for this time, it is told all counts.
    fullReportGapMs: 600,
    // Part of the fleet below which most of it is out of reach, and how long nothing is granted then. The other side needs
    // that long to leave this part of the quota alone.
    minorityShare: 0.5,
    minorityDelayMs: 1_500,
    // Below this part of the fleet, every request is granted by a hub.
    openShare: 0.9,
    // Share of a quota that counts as used by requests from before the process started, decaying over a window: all VMs
    // may have restarted, so that nobody knows. The usual use of a quota is about half.
    assumedShare: 0.45,
    // A granted request appears in the report of its member within a few milliseconds, also if that is repeated once.
    grantPendingMs: 1_000,
    // Reporters that were silent for this many windows are forgotten.
    reporterKeptWindows: 2,
    // How long a caller waits that is told to come back when no hub answers.
    unknownRetryAfterMs: 200,
} as const;
