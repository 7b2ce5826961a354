import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { ServerState } from "./server-state.js";

/** Recent failures of a server as they count now. */
export const fadeFailures = (server: ServerState, atMs: number): number =>
    server.failures * 2 ** (-(atMs - server.failuresAtMs) / DISPATCH_LIMITS.failureHalfLifeMs);
