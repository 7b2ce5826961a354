/** One attempt that was started and has not ended. */
export interface AttemptState {
    readonly attemptId: string;
    readonly address: string;
    readonly startedAtMs: number;
    readonly hedge: boolean;
    /** Requests at the backend server before this one, as the load reports had it. */
    readonly predictedLoad: number;
}
