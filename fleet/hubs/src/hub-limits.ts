/** Intervals and timeouts of the messages between VMs, in milliseconds unless the name says otherwise. */
export const HUB_LIMITS = {
    // Interval of a hub's messages to its members. One millisecond per member bounds a hub to 1,000 datagrams per
    // second, however large its zone is.
    hubHeartbeatIntervalMs: 100,
    hubHeartbeatPerMemberMs: 1,
    // A hub counts as lost after this many intervals, which tolerates a lost datagram and some jitter.
    hubTimeoutIntervals: 2.5,
    // A VM that has not found the others yet acts as hub only after this time.
    joinTimeoutMs: 3_000,
    // Additional wait per rank before a VM takes over as hub, so that only one VM does.
    takeoverStepMs: 60,
    // Maximum time between two messages of a member to its hub when there are no updates.
    memberHeartbeatIntervalMs: 500,
    // Interval of a hub's messages to the other hubs. Updates, which flow all the time, also show that it lives.
    hubPeerIntervalMs: 200,
    // How long updates are batched: by a member for its hub, and by a hub for the other zones, where each datagram is
    // billed. With the probe interval, loads of other zones stay below 100 ms old.
    memberBatchDelayMs: 3,
    hubBatchDelayMs: 30,
    // A VM is considered live for this time after it was last seen. A hub sends the list of the live VMs of its zone
    // at this interval.
    vmExpiryMs: 4_000,
    vmListIntervalMs: 1_500,
    // A hub sends heartbeats to two of the VMs that it no longer counts as live, at this interval and for this time, so
    // that both sides of a cut find each other when it ends.
    reconnectIntervalMs: 500,
    reconnectForMs: 600_000,
    // Additional delay, by rank, before a VM other than the first hub reads the store itself.
    hubReadDelayStepMs: 250,
    memberReadDelayMs: 700,
    memberReadDelayStepMs: 100,
    maxReadDelayMs: 3_000,
    // A registration change is repeated in all heartbeats of this period, because datagrams can get lost. It covers two
    // heartbeats to the other hubs.
    changeRepeatWindowMs: 450,
    // A hub repeats its findings at this interval, for VMs that have started, were paused or missed a datagram.
    findingsRepeatIntervalMs: 1_000,
    // Findings in one datagram, which keeps it within one packet.
    limitsPerMessage: 24,
    suspectsPerMessage: 8,
    // A hub grants the share of a limit for the VMs that it heard within the first time, which covers two heartbeats of a
    // member, of those that it heard within the second one.
    permitLivenessMs: 1_200,
    forgottenVmMs: 60_000,
    // After this time without a message of its hub, the VMs of another zone count as out of reach. Three heartbeats fit in.
    zoneHubTimeoutMs: 700,
    // Share of a server's limit that its health checks may use on top of the permits.
    limitedProbeShare: 0.25,
    // A member with waiting requests repeats its query at this interval, plus one millisecond per VM of its zone, which
    // bounds the queries that a hub gets when the whole zone is overloaded.
    loadQueryIntervalMs: 10,
    loadQueryPerMemberMs: 1,
    // Servers of a zone that one VM probes. Zones with more servers share the probes among several VMs.
    serversPerProber: 64,
    // After this time without a report the hub probes a server itself, whichever VM it was assigned to.
    proberTimeoutMs: 200,
} as const;
