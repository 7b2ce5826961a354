export type { Clock } from "./clock.js";
export { createClock } from "./create-clock.js";
export type { DaemonOptions } from "./daemon-options.js";
export type { DaemonStatus } from "./daemon-status.js";
export { Daemon } from "./daemon.js";
