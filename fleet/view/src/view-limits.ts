/** Intervals and timeouts of the view, in milliseconds unless the name says otherwise. */
export const VIEW_LIMITS = {
    // A draining server must not receive requests later than 2 s after the store accepted the change. Reading the store
    // and sending the change to the hubs and their members take less than a third of that in total.
    registrationIntervalMs: 450,
    // A configuration must be in effect on all VMs 2 s after the store accepted it.
    configurationIntervalMs: 700,
    // After a failed read, a VM leaves reading to the other VMs for this time.
    failureBackoffMs: 1_500,
    // A gap of this many heartbeats between two confirmed reads counts as an outage. Registrations expire after three
    // missed heartbeats.
    outageHeartbeats: 4 / 3,
    defaultHeartbeatMs: 1_500,
    // Backend servers register again within about 2 s after an outage of the store ends.
    expiredRetentionMs: 2_300,
    // A restored store removes the registrations of servers that have left after three missed heartbeats. Half of one more
    // leaves time for a late removal.
    withheldHeartbeats: 3.5,
    // How long a removed server is remembered. Longer than a restored copy is old.
    departedRetentionMs: 60_000,
    // Minimum time between two fetches from peers, after which a lost response is requested again.
    fetchRetryIntervalMs: 250,
    // A read without a result after this time is considered lost. The client's own timeout is shorter.
    readTimeoutMs: 2_500,
} as const;
