import type { DispatchDraft } from "./dispatch-draft.js";

/** Sends nothing to a server for the time for which it wants nothing from this VM, neither requests nor health checks. */
export const startBackoff = (draft: DispatchDraft, instanceId: string, retryAfterMs: number): void => {
    const server = draft.server(instanceId);
    const untilMs = draft.atMs + retryAfterMs;
    if (server === undefined || untilMs <= server.backoffUntilMs) {
        return;
    }
    draft.updateServer(instanceId, { backoffUntilMs: untilMs });
    draft.log({
        kind: "server-backoff",
        service: server.server.service,
        instanceId,
        inputs: { retryAfterMs: Math.round(retryAfterMs) },
    });
};
