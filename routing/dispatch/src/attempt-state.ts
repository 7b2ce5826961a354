/** One sending of a request to a backend server. */
export interface AttemptState {
    readonly attemptId: string;
    readonly instanceId: string;
    readonly startedAtMs: number;
    readonly expectedMs: number;
    /** Part of the work that is estimated to be done, in milliseconds of work at the usual speed. */
    readonly doneMs: number;
    readonly doneAtMs: number;
    readonly isHedge: boolean;
}
