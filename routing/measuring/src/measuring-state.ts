import type { OwnedShare } from "./owned-share.js";
import type { ProbeUnitState } from "./probe-unit-state.js";

/** State of the measuring reducer. */
export interface MeasuringState {
    /** Number of probe units in the fleet. Each allows one probe per second. */
    readonly unitCount: number;
    readonly shares: readonly OwnedShare[];
    /** Units that this daemon spent within the minimum interval, even if it has lost their shares since. */
    readonly spentUnits: ReadonlyMap<number, ProbeUnitState>;
    /** Probe times by address within the minimum interval, as a load report stays old until the probe is answered. */
    readonly recentProbes: ReadonlyMap<string, number>;
}
