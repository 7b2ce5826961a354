import type { OwnedShare } from "./owned-share.js";
import type { ProbeUnitState } from "./probe-unit-state.js";

/** State of the measuring slice. */
export interface MeasuringState {
    /** Probe units of the whole fleet. */
    readonly unitCount: number;
    readonly shares: readonly OwnedShare[];
    /** Units that this daemon spent within the spacing, whatever happened to their shares since. */
    readonly units: ReadonlyMap<number, ProbeUnitState>;
    /** When each address was probed within the spacing: its information stays old until the probe is answered. */
    readonly recentProbes: ReadonlyMap<string, number>;
}
