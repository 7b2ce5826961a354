import type { DispatchDraft } from "./dispatch-draft.js";

/** Sends nothing to a server for the time for which it wants nothing from this VM, neither requests nor health checks. */
export const leaveAlone = (draft: DispatchDraft, instanceId: string, retryAfterMs: number): void => {
    const server = draft.server(instanceId);
    const untilMs = draft.atMs + retryAfterMs;
    if (server === undefined || untilMs <= server.leftAloneUntilMs) {
        return;
    }
    draft.updateServer(instanceId, { leftAloneUntilMs: untilMs });
    draft.log({
        kind: "server-left-alone",
        service: server.server.service,
        instanceId,
        inputs: { retryAfterMs: Math.round(retryAfterMs) },
    });
};
