import { confirmCrash } from "./confirm-crash.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchEvent } from "./dispatch-event.js";

/** Handles the check of a server to which a connection broke. Without an answer, its registration has to tell. */
export const onServerVerified = (
    draft: DispatchDraft,
    event: Extract<DispatchEvent, { readonly type: "server-verified"; }>,
): void => {
    const { instanceId, askedAtMs, result } = event;
    for (const broken of draft.state.brokenAttempts.values()) {
        if (broken.instanceId !== instanceId || broken.brokeAtMs > askedAtMs) {
            continue;
        }
        if (result === "gone") {
            confirmCrash(draft, broken, { evidence: "connection-refused" });
        }
        else if (result === "running") {
            const brokenAttempts = new Map(draft.state.brokenAttempts);
            brokenAttempts.set(broken.attemptId, { ...broken, isServerRunning: true });
            draft.update({ brokenAttempts });
        }
    }
};
