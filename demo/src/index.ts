export { checkGuarantees } from "./check-guarantees.js";
export type { ConfigurationRollout } from "./configuration-rollout.js";
export type { DemoRecord } from "./demo-record.js";
export type { GuaranteeResult } from "./guarantee-result.js";
