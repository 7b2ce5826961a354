import type { BrokenAttempt } from "./broken-attempt.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { recordSuspect } from "./record-suspect.js";

/** Records that a server ended while it had a request, and suspects the request unless it ran to its end lately. */
export const confirmCrash = (draft: DispatchDraft, broken: BrokenAttempt, opts: {
    readonly evidence: "connection-refused" | "registration-removed" | "started-again";
}): void => {
    const { attemptId, fingerprint, requestId, path, service, instanceId, startedAtUnixMs, brokeAtMs } = broken;
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
    const completedAtMs = draft.state.completions.get(fingerprint) ?? -Infinity;
    if (brokeAtMs - completedAtMs > DISPATCH_LIMITS.recentCompletionMs) {
        const crashes = [{ instanceId, startedAtUnixMs, atMs: brokeAtMs }];
        recordSuspect(draft, { fingerprint, crashes, completedAtMs }, "response");
    }
};
