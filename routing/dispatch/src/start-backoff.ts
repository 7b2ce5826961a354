import type { DispatchDraft } from "./dispatch-draft.js";

/** Sends nothing to a server for the time for which it wants nothing from this VM, neither requests nor health checks. */
export const startBackoff = (draft: DispatchDraft, instanceId: string, retryAfterMs: number): void => {
    const server = draft.server(instanceId);
    const former = draft.state.formerServers.get(instanceId);
    const untilMs = draft.atMs + retryAfterMs;
    if (untilMs <= (server?.backoffUntilMs ?? former?.backoffUntilMs ?? Infinity)) {
        return;
    }
    if (server !== undefined) {
        draft.updateServer(instanceId, { backoffUntilMs: untilMs });
    }
    else if (former !== undefined) {
        draft.setFormerServer({ ...former, updatedAtMs: draft.atMs, backoffUntilMs: untilMs });
    }
    draft.log({
        kind: "server-backoff",
        service: server?.server.service ?? former?.service,
        instanceId,
        inputs: { retryAfterMs: Math.round(retryAfterMs) },
    });
};
