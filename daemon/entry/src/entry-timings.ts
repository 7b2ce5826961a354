/** Intervals and timeouts of the daemon, in milliseconds. */
export const ENTRY_TIMINGS = {
    // A slow period of a backend server's VM lasts about 150 ms. With this interval, the slowness is 25 ms old on
    // average when a server is selected.
    probeIntervalMs: 50,
    // Servers answer health checks immediately, so one that takes this long does not work.
    probeTimeoutMs: 300,
    // A server that does not answer a preflight check within a few round trips does not get the request.
    preflightTimeoutMs: 120,
    // Connecting within a region takes 3 ms. A lost SYN is retransmitted only after a second, by which time another
    // server would have answered.
    connectTimeoutMs: 250,
    // Backend servers that announce no keep-alive timeout close idle connections after 10 s. One second is left for
    // network delay.
    idleConnectionTimeoutMs: 9_000,
    keepAliveMarginMs: 1_000,
    // Tick intervals of a daemon that has open requests or probes servers, and of an idle one.
    busyTickIntervalMs: 10,
    idleTickIntervalMs: 50,
    // Store reads are due every few hundred milliseconds, so the view does not need every tick.
    viewTickIntervalMs: 40,
    // The platform's balancer checks readiness once a second and takes a VM out of rotation after two responses other
    // than 200, so the daemon accepts connections for this long after SIGTERM.
    acceptAfterStopMs: 3_000,
    // A caller sends its first request as soon as the connection is open. Once the process stops, connections without a
    // request are closed after this time.
    firstRequestTimeoutMs: 1_000,
    // A closed connection is still read until the caller closes its side, at most for this long. Callers do that at the
    // end of the last response, which may take a slow one some time.
    lingerTimeoutMs: 1_000,
    // The process exits this long before the platform kills it.
    stopMarginMs: 200,
    stopPollIntervalMs: 25,
    // Datagrams that arrive within this time after a pause may have waited in the socket meanwhile, so that the ages in
    // them are wrong. They are dropped.
    datagramSettleMs: 50,
    // A restarted VM waits this long for the view of a seed before it reads the store. A seed that runs answers within
    // two round trips. When all VMs have lost power none answers, and callers wait.
    seedWaitMs: 50,
    joinRetryDelayMs: 400,
    // At the first start of the whole system all VMs write their entry within 0.3 s. A VM lists the entries after the
    // delay, a part of the spread by chance, and up to the last delay by its bandwidth, unless a hub has found it by then.
    listDelayMs: 400,
    listDelaySpreadMs: 1_000,
    listDelayOfSmallVmMs: 4_500,
    // A hub lists the entries again, for VMs that take seconds to start.
    hubListIntervalMs: 1_800,
    hubListRounds: 2,
    // After a restore of the store the hubs list the entries within this time, so that they do not all call a store that
    // has just come back at the same moment.
    rejoinDelaySpreadMs: 1_000,
    // How often a hub retries after that, and for how many rounds the other VMs watch whether they become the hub. A VM
    // that has just started acts as hub after 3 s.
    rejoinRoundIntervalMs: 1_000,
    rejoinWatchRounds: 6,
    // Idle timeout until a configuration is active. Callers reuse connections that have been idle for up to 12 s.
    initialIdleTimeoutMs: 15_000,
    // Time for the head of a request until a configuration is active, and how often slow heads are looked for.
    initialHeaderTimeoutMs: 5_000,
    headerTimeoutCheckIntervalMs: 500,
    rpcTimeoutMs: 600,
    logFlushDelayMs: 200,
    // Within the margin before the platform kills the process.
    lastFlushTimeoutMs: 100,
} as const;
