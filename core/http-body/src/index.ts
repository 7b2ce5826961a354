export { BodyBudget } from "./body-budget.js";
export { BodyCollector } from "./body-collector.js";
export type { BodyLimit } from "./body-limit.js";
export { collectBody } from "./collect-body.js";
