import type { LogFaults } from "./log-faults.js";

/** Decoded form of {@link LogFaults}. */
export type LogFaultSettings = typeof LogFaults.Type;
