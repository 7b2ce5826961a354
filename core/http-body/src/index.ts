export { BodyBudget } from "./body-budget.js";
export { BodyCollector } from "./body-collector.js";
export type { BodyLimit } from "./body-limit.js";
export type { BodyReservations } from "./body-reservations.js";
export type { BudgetedBody } from "./budgeted-body.js";
export { CheckedAgent } from "./checked-agent.js";
export { CheckedSocket } from "./checked-socket.js";
export { collectBody } from "./collect-body.js";
export { watchResponseEnd } from "./watch-response-end.js";
