import type { ProbeUnitState } from "./probe-unit-state.js";

/** State of the measuring slice. */
export interface MeasuringState {
    readonly unitCount: number;
    readonly shares: readonly {
        readonly share: number;
        readonly usableFromMs: number;
        readonly usableUntilMs: number;
    }[];
    /** Units that this daemon has spent at some time. */
    readonly units: ReadonlyMap<number, ProbeUnitState>;
    /** When each address was probed last, for the last second only. */
    readonly recentProbes: ReadonlyMap<string, number>;
    readonly sentInLastSecond: number;
}
