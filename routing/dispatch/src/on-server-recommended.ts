import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchEvent } from "./dispatch-event.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";

/**
 * Counts the slot that a hub has just recommended as taken for a short time, so that it does not recommend it to
 * several VMs at once. It is only an expectation, which ends by itself.
 */
export const onServerRecommended = (
    draft: DispatchDraft,
    event: Extract<DispatchEvent, { readonly type: "server-recommended"; }>,
): void => {
    const { atMs } = draft;
    const { instanceId, vmId } = event;
    const server = draft.server(instanceId);
    if (server !== undefined) {
        const expectedUntilMs = atMs + DISPATCH_LIMITS.expectedSendValidForMs;
        const current = server.unreportedSends.filter(send => (send.expectedUntilMs ?? Infinity) >= atMs);
        draft.updateServer(instanceId, {
            unreportedSends: [...current, { sentAtMs: atMs, vmId, expectedUntilMs }],
        });
    }
};
