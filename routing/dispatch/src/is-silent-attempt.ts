import type { AttemptState } from "./attempt-state.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { ServerState } from "./server-state.js";

/**
 * Whether a server has dropped the request of an attempt without an answer, rather than being slow: it reports that it has
 * no request at all long after this one was sent, or the attempt takes longer than any that is only slow.
 */
export const isSilentAttempt = (
    attempt: AttemptState,
    opts: { readonly server: ServerState | undefined; readonly atMs: number; },
): boolean => {
    const { server, atMs } = opts;
    if (attempt.phase !== "sent" || server === undefined) {
        return false;
    }
    const { load, measuredAtMs } = server;
    const reportsNone = load !== undefined && load.inFlight + load.queued === 0
        && measuredAtMs - attempt.startedAtMs >= DISPATCH_LIMITS.silentReportAfterMs;
    return reportsNone || atMs - attempt.startedAtMs > DISPATCH_LIMITS.silentFactor * attempt.reportBasedMs;
};
