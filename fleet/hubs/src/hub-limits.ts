/** Intervals and timeouts of the messages between VMs, in milliseconds. */
export const HUB_LIMITS = {
    // A hub sends at least every 100 ms, so this tolerates two lost datagrams and some jitter.
    hubTimeoutMs: 250,
    // Additional wait per rank before a VM takes over as hub, so that only one VM does.
    takeoverStepMs: 60,
    // Maximum time between two messages of a hub to its peers, and of a member to its hub, when there are no updates.
    hubHeartbeatIntervalMs: 100,
    memberHeartbeatIntervalMs: 500,
    // How long updates are batched before they are sent. A hub waits at least one millisecond per member, which limits
    // it to 1,000 datagrams per second and keeps the CPU time that a member spends on them constant as the zone grows.
    hubBatchDelayMs: 6,
    hubBatchDelayPerMemberMs: 1,
    memberBatchDelayMs: 3,
    // A VM is considered live for this time after it was last seen. A hub sends the list of live VMs every second.
    vmExpiryMs: 4_000,
    vmListIntervalMs: 1_000,
    // Additional delay, by rank, before a VM other than the first hub reads the store itself.
    hubReadDelayStepMs: 250,
    memberReadDelayMs: 700,
    memberReadDelayStepMs: 100,
    maxReadDelayMs: 3_000,
    // A registration change is repeated in all messages of this period, because datagrams can get lost.
    changeRepeatWindowMs: 250,
} as const;
