export type { LogFaultSettings } from "./log-fault-settings.js";
export { LogFaults } from "./log-faults.js";
export type { LogOptions } from "./log-options.js";
export type { LogPage } from "./log-page.js";
export type { LogRecord } from "./log-record.js";
export { LogStandIn } from "./log-stand-in.js";
