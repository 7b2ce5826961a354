import type { DispatchDraft } from "./dispatch-draft.js";
import type { RequestLimit } from "./request-limit.js";

const NO_LIMIT = -1;

/** Stores the limit that a server stated for its requests, unless a later statement is known. */
export const recordRequestLimit = (draft: DispatchDraft, instanceId: string, requestLimit: RequestLimit): void => {
    const server = draft.server(instanceId);
    if (server === undefined || server.requestLimit.statedAtMs > requestLimit.statedAtMs) {
        return;
    }
    const { perSecond, statedAtMs } = requestLimit;
    const previous = server.requestLimit;
    draft.updateServer(instanceId, { requestLimit });
    if (perSecond === previous.perSecond) {
        return;
    }
    draft.log({
        kind: "server-limit",
        service: server.server.service,
        instanceId,
        reason: perSecond === undefined ? "ended" : previous.perSecond === undefined ? "stated" : "changed",
        inputs: {
            limitPerSecond: perSecond ?? NO_LIMIT,
            previousPerSecond: previous.perSecond ?? NO_LIMIT,
            ageMs: Math.round(draft.atMs - statedAtMs),
        },
    });
};
