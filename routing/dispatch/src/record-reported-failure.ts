import { decayFailures } from "./decay-failures.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";

/**
 * Counts a failure that another VM has seen. It makes the server less attractive but does not eject it: failures in a
 * row on one VM may be due to that VM.
 */
export const recordReportedFailure = (
    draft: DispatchDraft,
    failure: { readonly instanceId: string; readonly weight: number; },
): void => {
    const { instanceId, weight } = failure;
    const server = draft.server(instanceId);
    if (server !== undefined) {
        const failures = Math.min(DISPATCH_LIMITS.maxFailures, decayFailures(server, draft.atMs) + weight);
        draft.updateServer(instanceId, { failures, failuresAtMs: draft.atMs });
    }
};
