import type { BackendFaults } from "./backend-faults.js";

/** Decoded form of {@link BackendFaults}. */
export type BackendFaultSettings = typeof BackendFaults.Type;
