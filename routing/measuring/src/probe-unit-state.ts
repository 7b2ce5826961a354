/** When this daemon last spent a probe unit, on its monotonic clock. */
export interface ProbeUnitState {
    readonly unit: number;
    readonly lastProbeAtMs: number;
}
