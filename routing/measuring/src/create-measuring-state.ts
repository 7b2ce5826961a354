import type { MeasuringState } from "./measuring-state.js";

/** Initial state, without a probe budget or shares, in which no probe is sent. */
export const createMeasuringState = (): MeasuringState => ({
    unitCount: 0,
    shares: [],
    spentUnits: new Map(),
    recentProbes: new Map(),
});
