import type { WarmUp } from "@marigoldstall/core.types";
import type { DispatchDraft } from "./dispatch-draft.js";
import { isColdLimited } from "./is-cold-limited.js";

/** Stores until when a server is cold, unless a later statement is known. It replaces what the registration said. */
export const recordWarmUp = (draft: DispatchDraft, instanceId: string, warmUp: WarmUp): void => {
    const server = draft.server(instanceId);
    if (
        server === undefined || server.warmUpStatedAtMs >= warmUp.statedAtMs
        || !isColdLimited(draft.state, server.server.service)
    ) {
        return;
    }
    const { coldUntilMs, statedAtMs } = warmUp;
    draft.updateServer(instanceId, { coldUntilMs, warmUpStatedAtMs: statedAtMs });
    const { atMs } = draft;
    if (server.coldUntilMs <= atMs && coldUntilMs > atMs) {
        draft.log({
            kind: "server-cold",
            service: server.server.service,
            instanceId,
            inputs: { coldForMs: Math.round(coldUntilMs - atMs), ageMs: Math.round(atMs - statedAtMs) },
        });
    }
};
