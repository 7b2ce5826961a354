import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { recordSuspect } from "./record-suspect.js";

/** Records that a server ran a request to its end, which clears it if servers ended under it. */
export const recordCompletion = (draft: DispatchDraft, fingerprint: string): void => {
    const { atMs, state } = draft;
    const completions = new Map(state.completions);
    completions.delete(fingerprint);
    completions.set(fingerprint, atMs);
    const oldest = completions.keys().next().value;
    if (completions.size > DISPATCH_LIMITS.maxCompletions && oldest !== undefined) {
        completions.delete(oldest);
    }
    draft.update({ completions });
    if (state.suspects.has(fingerprint)) {
        recordSuspect(draft, { fingerprint, crashes: [], completedAtMs: atMs }, "response");
    }
};
