export type { MeasuringEffect } from "./measuring-effect.js";
export type { MeasuringEvent } from "./measuring-event.js";
