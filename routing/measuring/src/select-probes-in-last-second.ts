import type { MeasuringState } from "./measuring-state.js";

/** Number of probes that this daemon sent in the last second, for the status. */
export const selectProbesInLastSecond = (state: MeasuringState, atMs: number): number =>
    Array.from(state.spentUnits.values()).filter(unit => atMs - unit.lastProbeAtMs < 1000).length;
