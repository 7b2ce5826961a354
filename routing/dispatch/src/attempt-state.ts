/** One sending of a request to a backend server. */
export interface AttemptState {
    readonly attemptId: string;
    readonly instanceId: string;
    /** `checking`: the server is asked for its load first, and nothing was sent yet. */
    readonly phase: "checking" | "sent";
    readonly startedAtMs: number;
    readonly expectedMs: number;
    /** Time that the request takes there if the last report held at its start. */
    readonly steadyMs: number;
    /** Slowness, as a factor, in the last report before the start, and its age. */
    readonly slowness: number;
    readonly reportAgeMs: number;
    /** Chance that the server's VM had turned slow between that report and the start. */
    readonly slowChance: number;
    /** Whether it got the last slot of the server, where work takes longer. */
    readonly tookLastSlot: boolean;
    /** No report after the start has been seen yet. */
    readonly awaitsReport: boolean;
    readonly isHedge: boolean;
}
