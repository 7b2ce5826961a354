/** An attempt that has started and not ended. */
export interface AttemptState {
    readonly attemptId: string;
    readonly address: string;
    readonly startedAtMs: number;
    readonly isHedge: boolean;
    /** Requests already at the backend server when this attempt started, as estimated from the load reports. */
    readonly predictedLoad: number;
}
