/** An attempt whose connection broke while its server had the request. */
export interface BrokenAttempt {
    readonly attemptId: string;
    readonly fingerprint: string;
    readonly requestId: string;
    readonly path: string;
    readonly service: string;
    readonly instanceId: string;
    readonly startedAtUnixMs: number;
    readonly brokeAtMs: number;
    /** Whether the server answered on a new connection after that. */
    readonly isServerRunning: boolean;
}
