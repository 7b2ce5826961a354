export type { DecisionLogOptions } from "./decision-log-options.js";
export { DecisionLog } from "./decision-log.js";
export { formatDecision } from "./format-decision.js";
export type { LoggedDecision } from "./logged-decision.js";
