export type { DaemonSettings } from "./daemon-settings.js";
export { DEFAULT_REQUEST_LIMITS } from "./default-request-limits.js";
export { DEFAULT_STOP_NOTICE_MS } from "./default-stop-notice-ms.js";
export { readDaemonSettings } from "./read-daemon-settings.js";
export type { ReadSettingsOptions } from "./read-settings-options.js";
export { readToolSettings } from "./read-tool-settings.js";
export type { RequestLimits } from "./request-limits.js";
export type { ToolSettings } from "./tool-settings.js";
