/** Permission for at most one probe in any one second. */
export interface ProbeUnitState {
    readonly unit: number;
    readonly lastProbeAtMs: number;
    readonly lastProbeWallMs: number;
}
