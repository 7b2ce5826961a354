import type { RequestLimits } from "./request-limits.js";

/** Limits that apply unless the settings override them. */
export const DEFAULT_REQUEST_LIMITS: RequestLimits = {
    headerBytes: 16_384,
    bufferedBodyBytes: 65_536,
    bodyTimeoutMs: 30_000,
    connectionsPerCallerAddress: 1000,
    connectionsPerBackendServer: 12,
    requestsInFlight: 5000,
    defaultDeadlineMs: 30_000,
};
