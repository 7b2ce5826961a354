/** Times of the view, in milliseconds. */
export const VIEW_LIMITS = {
    // A server that leaves may get its last request 2 s after the store accepted that. Reading, telling the hubs and
    // telling their members together stay below a third of that.
    registrationIntervalMs: 450,
    // A configuration has to be in force 2 s after the store accepted it.
    configurationIntervalMs: 700,
    // A VM that the store refuses leaves the reading to others for this time.
    failureBackoffMs: 1_500,
    // A view older than this many heartbeats was cut off from the store. Registrations lapse after three of them.
    outageHeartbeats: 4 / 3,
    defaultHeartbeatMs: 1_500,
    // Backend servers register again within about 2 s of the store's return.
    lapseHoldMs: 2_300,
    // A lost answer of a peer is asked for again after this time.
    fetchIntervalMs: 250,
    // A read that got no result by then is taken as lost; the client's own limit is shorter.
    readTimeoutMs: 2_500,
} as const;
