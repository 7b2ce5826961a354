/** Times of the daemon, in milliseconds. */
export const ENTRY_LIMITS = {
    // The slowness of a backend server's VM lasts about 150 ms; its age at a choice is then 25 ms on average.
    probeIntervalMs: 50,
    // A health check is answered at once, so one that takes this long found no working server.
    probeTimeoutMs: 300,
    // A server that does not answer a check within a few round trips gets no request now.
    checkTimeoutMs: 120,
    // A connection within a region takes 3 ms. The first packet is sent again only after a second, by when another
    // server has long answered.
    connectTimeoutMs: 250,
    // Backend servers keep idle connections for 10 s where they do not say; a second is for the way.
    idleConnectionMs: 9_000,
    keepAliveMarginMs: 1_000,
    // Time between ticks with requests or measuring under way, and without.
    busyTickMs: 10,
    idleTickMs: 50,
    // Reads of the store are due every few hundred milliseconds.
    viewTickMs: 40,
    // After SIGTERM the balancer asks once a second and takes a VM out after two answers that are not 200.
    stopAcceptMs: 3_000,
    // The process ends this long before it is killed.
    stopMarginMs: 200,
    stopPollMs: 25,
    // Attempts to join the fleet that failed are repeated after this time.
    joinRetryMs: 400,
    // Callers reuse connections that have been idle for up to 12 s of these before a configuration says otherwise.
    initialIdleTimeoutMs: 15_000,
    rpcTimeoutMs: 600,
    logFlushMs: 200,
} as const;
