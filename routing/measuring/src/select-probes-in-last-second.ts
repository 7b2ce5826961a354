import type { MeasuringState } from "./measuring-state.js";

/** Probes that this daemon sent in the last second, for status. */
export const selectProbesInLastSecond = (state: MeasuringState, atMs: number): number =>
    Array.from(state.units.values()).filter(unit => atMs - unit.lastProbeAtMs < 1000).length;
