/** Latencies and counts of one simulation run. */
export interface ModelResult {
    readonly urgentMs: readonly number[];
    readonly normalMs: readonly number[];
    readonly patientMs: readonly number[];
    readonly requests: number;
    readonly attempts: number;
    readonly notCompleted: number;
}
