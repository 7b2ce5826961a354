/** One attempt to run a request on a backend server. */
export interface AttemptState {
    readonly attemptId: string;
    readonly instanceId: string;
    /**
     * `checking`: the preflight check right before the request is sent is pending. `awaiting-permit`: its server limits its
     * requests or is cold, and the VM that counts them has not answered yet.
     */
    readonly phase: "checking" | "awaiting-permit" | "sent";
    readonly startedAtMs: number;
    readonly expectedMs: number;
    /** Expected duration, assuming that the last load report still held at the start. */
    readonly reportBasedMs: number;
    /** Slowness factor in the last report before the start, and the age of that report. */
    readonly slowness: number;
    readonly reportAgeMs: number;
    /** Probability that the server's VM became slow between that report and the start. */
    readonly slowChance: number;
    /** Whether it took the last free slot of the server, where requests run slower. */
    readonly tookLastSlot: boolean;
    /** Whether no load report measured after the start has been received yet. */
    readonly awaitsReport: boolean;
    readonly isHedge: boolean;
    /** Whether the server was checked on an open connection, so that the check took one round trip. */
    readonly checkedOnOpenConnection: boolean;
}
