export type { AttemptFailure } from "./attempt-failure.js";
export type { RoutingEffect } from "./routing-effect.js";
export type { RoutingEvent } from "./routing-event.js";
