import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { ServerState } from "./server-state.js";

/** Number of recent failures of a server, decayed exponentially up to `atMs`. */
export const decayFailures = (server: ServerState, atMs: number): number =>
    // Most servers have none, and every estimate asks.
    server.failures === 0
        ? 0
        : server.failures * 2 ** (-(atMs - server.failuresAtMs) / DISPATCH_LIMITS.failureHalfLifeMs);
