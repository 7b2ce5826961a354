import type { RegistrationChange } from "@marigoldstall/fleet.view";
import { confirmCrash } from "./confirm-crash.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";

/**
 * Confirms the end of servers whose connections broke before: by a later start under the same id, or by the removal of
 * the registration of a server that did not answer.
 */
export const confirmCrashesByRegistration = (draft: DispatchDraft, change: RegistrationChange): void => {
    const { instanceId, server } = change;
    for (const broken of draft.state.brokenAttempts.values()) {
        const isRecent = draft.atMs - broken.brokeAtMs <= DISPATCH_LIMITS.brokenAttemptKeptMs;
        if (broken.instanceId !== instanceId || !isRecent) {
            continue;
        }
        if (server === undefined) {
            if (!broken.isServerRunning) {
                confirmCrash(draft, broken, { evidence: "registration-removed" });
            }
        }
        else if (server.startedAtUnixMs > broken.startedAtUnixMs) {
            confirmCrash(draft, broken, { evidence: "started-again" });
        }
    }
};
