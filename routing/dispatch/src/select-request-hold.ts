import type { DispatchDraft } from "./dispatch-draft.js";
import type { RequestState } from "./request-state.js";
import { selectHold } from "./select-hold.js";

/** The servers that ended under a request and, while it is held back, for how much longer. */
export const selectRequestHold = (
    draft: DispatchDraft,
    request: Pick<RequestState, "fingerprint">,
): { readonly crashCount: number; readonly remainingMs: number; readonly servers: string; } | undefined => {
    const suspect = draft.state.suspects.get(request.fingerprint);
    if (suspect === undefined) {
        return undefined;
    }
    const { crashes, untilMs } = selectHold(suspect);
    const servers = crashes.map(({ instanceId }) => instanceId).join(" ");
    return { crashCount: crashes.length, remainingMs: Math.max(0, untilMs - draft.atMs), servers };
};
