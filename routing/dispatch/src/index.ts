export { createDispatchState } from "./create-dispatch-state.js";
export type { DecisionRecord } from "./decision-record.js";
export type { DispatchEffect } from "./dispatch-effect.js";
export type { DispatchEvent } from "./dispatch-event.js";
export { DISPATCH_LIMITS } from "./dispatch-limits.js";
export type { DispatchState } from "./dispatch-state.js";
export { reduceDispatch } from "./reduce-dispatch.js";
export { selectAttempt } from "./select-attempt.js";
