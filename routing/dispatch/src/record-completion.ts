import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { recordSuspect } from "./record-suspect.js";
import { setNewest } from "./set-newest.js";

/** Records that a server ran a request to its end, which clears it if servers ended under it. */
export const recordCompletion = (draft: DispatchDraft, fingerprint: string): void => {
    const { atMs, state } = draft;
    const maxSize = DISPATCH_LIMITS.maxCompletions;
    draft.update({ completions: setNewest(state.completions, [fingerprint, atMs], { maxSize }) });
    if (state.suspects.has(fingerprint)) {
        recordSuspect(draft, { fingerprint, crashes: [], completedAtMs: atMs }, "response");
    }
};
