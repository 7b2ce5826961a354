import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { setNewest } from "./set-newest.js";

/** Records that a server has said that it is about to end. It gets no requests until it starts again. */
export const recordLeaving = (draft: DispatchDraft, leaving: {
    readonly instanceId: string;
    readonly startedAtUnixMs: number;
    readonly source: "response" | "peer";
}): void => {
    const { instanceId, startedAtUnixMs, source } = leaving;
    if ((draft.state.leavingStarts.get(instanceId)?.startedAtUnixMs ?? -Infinity) >= startedAtUnixMs) {
        return;
    }
    const entry = [instanceId, { startedAtUnixMs, learnedAtMs: draft.atMs }] as const;
    const maxSize = DISPATCH_LIMITS.maxLeavingServers;
    draft.update({ leavingStarts: setNewest(draft.state.leavingStarts, entry, { maxSize }) });
    draft.emit({ type: "findings-changed", source });
    const server = draft.server(instanceId)?.server;
    if (server !== undefined && server.startedAtUnixMs <= startedAtUnixMs) {
        draft.updateServer(instanceId, { isLeaving: true });
    }
    draft.log({ kind: "server-leaving", service: server?.service, instanceId, inputs: { source, startedAtUnixMs } });
};
