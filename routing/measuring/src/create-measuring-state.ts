import type { MeasuringState } from "./measuring-state.js";

/** The measuring state of a daemon that knows neither a budget nor shares: it sends no probe. */
export const createMeasuringState = (): MeasuringState => ({
    unitCount: 0,
    shares: [],
    units: new Map(),
    recentProbes: new Map(),
});
