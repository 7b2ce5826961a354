export { type Clock, createClock } from "@marigoldstall/daemon.connections";
export type { DaemonOptions } from "./daemon-options.js";
export type { DaemonStatus } from "./daemon-status.js";
export { Daemon } from "./daemon.js";
