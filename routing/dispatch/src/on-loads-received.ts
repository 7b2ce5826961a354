import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchEvent } from "./dispatch-event.js";
import { recordLoad } from "./record-load.js";
import { recordReportedFailure } from "./record-reported-failure.js";

/** Applies the updates that another VM sent to this one. */
export const onLoadsReceived = (
    draft: DispatchDraft,
    event: Extract<DispatchEvent, { readonly type: "loads-received"; }>,
): void => {
    for (const { instanceId, ...report } of event.loads) {
        recordLoad(draft, instanceId, report);
    }
    for (const { instanceId, sentAtMs } of event.sentRequests) {
        const server = draft.server(instanceId);
        if (server !== undefined) {
            const unreportedSends = [...server.unreportedSends, { sentAtMs, vmId: event.vmId }];
            draft.updateServer(instanceId, { isUsed: true, unreportedSends });
        }
    }
    for (const failure of event.failures) {
        recordReportedFailure(draft, failure);
    }
};
