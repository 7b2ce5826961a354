export { createMeasuringState } from "./create-measuring-state.js";
export type { MeasuringEffect } from "./measuring-effect.js";
export type { MeasuringEvent } from "./measuring-event.js";
export type { MeasuringState } from "./measuring-state.js";
export type { OwnedShare } from "./owned-share.js";
export { reduceMeasuring } from "./reduce-measuring.js";
export { selectProbesInLastSecond } from "./select-probes-in-last-second.js";
