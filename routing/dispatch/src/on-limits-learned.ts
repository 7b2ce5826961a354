import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchEvent } from "./dispatch-event.js";
import { recordRequestLimit } from "./record-request-limit.js";

/** Applies the limits that another VM has learned, except those of an earlier start of a server. */
export const onLimitsLearned = (
    draft: DispatchDraft,
    event: Extract<DispatchEvent, { readonly type: "limits-learned"; }>,
): void => {
    for (const { instanceId, startedAtUnixMs, perSecond, statedAtMs } of event.limits) {
        const knownStart = draft.server(instanceId)?.server.startedAtUnixMs
            ?? draft.state.formerServers.get(instanceId)?.startedAtUnixMs;
        if (knownStart === startedAtUnixMs) {
            recordRequestLimit(draft, instanceId, { requestLimit: { perSecond, statedAtMs }, source: "peer" });
        }
    }
};
