import type { AttemptState } from "./attempt-state.js";
import type { BrokenAttempt } from "./broken-attempt.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { RequestState } from "./request-state.js";
import { verifyServer } from "./verify-server.js";

/**
 * Keeps an attempt whose connection broke, and checks whether its server still runs. Resets, cuts and drains break
 * connections too; only a server that has ended may have ended by the request. A server that leaves ends anyway.
 */
export const trackBrokenAttempt = (draft: DispatchDraft, request: RequestState, attempt: AttemptState): void => {
    const { atMs } = draft;
    const { attemptId, instanceId } = attempt;
    const state = draft.server(instanceId);
    if (state === undefined || state.server.isDraining || state.isLeaving) {
        return;
    }
    const { server } = state;
    const kept = [...draft.state.brokenAttempts.values()].filter(({ brokeAtMs }) =>
        atMs - brokeAtMs <= DISPATCH_LIMITS.brokenAttemptKeptMs
    );
    const { fingerprint, requestId, path, service } = request;
    const { startedAtUnixMs } = server;
    const broken: BrokenAttempt = {
        attemptId,
        fingerprint,
        requestId,
        path,
        service,
        instanceId,
        startedAtUnixMs,
        brokeAtMs: atMs,
        isServerRunning: false,
    };
    const newest = [...kept, broken].slice(-DISPATCH_LIMITS.maxBrokenAttempts);
    draft.update({ brokenAttempts: new Map(newest.map(one => [one.attemptId, one])) });
    verifyServer(draft, server);
};
