export { daemonCommand } from "./daemon-command.js";
export type { DaemonFlags } from "./daemon-flags.js";
