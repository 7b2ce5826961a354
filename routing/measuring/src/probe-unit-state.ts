/** When a probe unit was last spent by this daemon, on its monotonic clock. */
export interface ProbeUnitState {
    readonly unit: number;
    readonly lastProbeAtMs: number;
}
