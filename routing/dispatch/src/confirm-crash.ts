import type { BrokenAttempt } from "./broken-attempt.js";
import type { DispatchDraft } from "./dispatch-draft.js";

/** Records that a server ended while it had a request. */
export const confirmCrash = (draft: DispatchDraft, broken: BrokenAttempt, opts: {
    readonly evidence: "connection-refused" | "registration-removed" | "started-again";
}): void => {
    const { attemptId, fingerprint, requestId, path, service, instanceId, brokeAtMs } = broken;
    const brokenAttempts = new Map(draft.state.brokenAttempts);
    brokenAttempts.delete(attemptId);
    draft.update({ brokenAttempts });
    draft.log({
        kind: "server-ended",
        requestId,
        service,
        instanceId,
        reason: opts.evidence,
        inputs: { attempt: attemptId, fingerprint, path, afterMs: Math.round(draft.atMs - brokeAtMs) },
    });
};
