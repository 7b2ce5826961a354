/** Times of the exchange between VMs, in milliseconds. */
export const HUB_LIMITS = {
    // A hub sends at least every 100 ms, so this is two lost datagrams and some jitter.
    hubSilenceMs: 250,
    // Each further rank waits this much longer before it takes over, so that one VM does and not all.
    takeOverStepMs: 60,
    // A hub without news sends this often, and a member tells its hub that it lives.
    hubPresenceMs: 100,
    memberPresenceMs: 500,
    // How long news wait for more before they are sent. A hub waits a millisecond for each member, which bounds it to
    // 1,000 datagrams a second and keeps the share of a core that a member spends on them flat as the zone grows.
    hubGatherMs: 6,
    hubGatherPerMemberMs: 1,
    memberGatherMs: 3,
    // VMs are counted among the living for this time after they were heard of; a hub tells the list every second.
    vmForgottenMs: 4_000,
    vmListIntervalMs: 1_000,
    // Further readers of the store wait this much longer, by rank, before they read for themselves.
    readerStepMs: 250,
    memberReadDelayMs: 700,
    memberReaderStepMs: 100,
    maxReadDelayMs: 3_000,
    // A change of a registration goes into the messages of this time, which makes up for lost datagrams.
    changeRepeatMs: 250,
} as const;
