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
    const former = draft.state.formerServers.get(instanceId);
    const { requestLimit, source } = opts;
    const { perSecond, statedAtMs } = requestLimit;
    const previous = server?.requestLimit ?? former?.requestLimit;
    if (previous === undefined) {
        return;
    }
    if (previous.statedAtMs > statedAtMs) {
        if (perSecond !== previous.perSecond) {
            // The VM that tells of it has missed the later statement, which this one knows.
            draft.emit({ type: "findings-changed", source: "response" });
        }
        return;
    }
    if (server !== undefined) {
        draft.updateServer(instanceId, { requestLimit });
    }
    else if (former !== undefined) {
        draft.setFormerServer({ ...former, updatedAtMs: draft.atMs, requestLimit });
    }
    if (perSecond === previous.perSecond) {
        return;
    }
    draft.emit({ type: "findings-changed", source });
    draft.log({
        kind: "server-limit",
        service: server?.server.service ?? former?.service,
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
