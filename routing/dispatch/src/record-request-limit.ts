import type { DispatchDraft } from "./dispatch-draft.js";
import type { RequestLimit } from "./request-limit.js";

const NO_LIMIT = -1;

interface RecordRequestLimitOptions {
    readonly requestLimit: RequestLimit;
    readonly source: "response" | "peer";
}

/** Stores the limit that a server stated for its requests, unless a later statement is known. */
export const recordRequestLimit = (
    draft: DispatchDraft,
    instanceId: string,
    opts: RecordRequestLimitOptions,
): void => {
    const server = draft.server(instanceId);
    const { requestLimit, source } = opts;
    if (server === undefined) {
        return;
    }
    const { perSecond, statedAtMs } = requestLimit;
    const previous = server.requestLimit;
    if (previous.statedAtMs > statedAtMs) {
        if (perSecond !== previous.perSecond) {
            // The VM that tells of it has missed the later statement, which this one knows.
            draft.emit({ type: "findings-changed", source: "response" });
        }
        return;
    }
    draft.updateServer(instanceId, { requestLimit });
    if (perSecond === previous.perSecond) {
        return;
    }
    draft.emit({ type: "findings-changed", source });
    draft.log({
        kind: "server-limit",
        service: server.server.service,
        instanceId,
        reason: perSecond === undefined ? "ended" : previous.perSecond === undefined ? "stated" : "changed",
        inputs: {
            source,
            limitPerSecond: perSecond ?? NO_LIMIT,
            previousPerSecond: previous.perSecond ?? NO_LIMIT,
            ageMs: Math.round(draft.atMs - statedAtMs),
        },
    });
};
