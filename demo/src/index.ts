export { checkPromises } from "./check-promises.js";
export type { ConfigurationCheck } from "./configuration-check.js";
export type { DemoEvidence } from "./demo-evidence.js";
export type { PromiseResult } from "./promise-result.js";
