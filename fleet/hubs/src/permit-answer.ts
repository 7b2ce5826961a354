/** Answer to a permit query. A permit counts as used, whether a request follows or not. */
export interface PermitAnswer {
    readonly type: "permit-answer";
    readonly attemptId: string;
    readonly instanceId: string;
    readonly isGranted: boolean;
    /** Time until the next permit can be granted. */
    readonly retryAfterMs: number;
}
