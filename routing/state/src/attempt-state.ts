/** One attempt that was started and has not ended. */
export interface AttemptState {
    readonly attemptId: string;
    readonly address: string;
    readonly startedAtMs: number;
    readonly hedge: boolean;
}
