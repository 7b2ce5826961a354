/** A response that was measured, kept for comparison with attempts in progress. */
export interface RecentAnswer {
    readonly instanceId: string;
    readonly startedAtMs: number;
    readonly durationMs: number;
}
