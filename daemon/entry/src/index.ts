export { createEntryState } from "./create-entry-state.js";
export { EntryDaemon } from "./entry-daemon.js";
export type { EntryEffect } from "./entry-effect.js";
export type { EntryEvent } from "./entry-event.js";
export type { EntryState } from "./entry-state.js";
export { parseHedgeShare } from "./parse-hedge-share.js";
export { reduceEntry } from "./reduce-entry.js";
export { selectFindings } from "./select-findings.js";
export { toEntryEvent } from "./to-entry-event.js";
