import { decayFailures } from "./decay-failures.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchEvent } from "./dispatch-event.js";
import { drainQueue } from "./drain-queue.js";
import { recordLoad } from "./record-load.js";

/** Applies the hub's answer to a load query and sends the requests that waited for it. */
export const onLoadsAnswered = (
    draft: DispatchDraft,
    event: Extract<DispatchEvent, { readonly type: "loads-answered"; }>,
): void => {
    const { atMs } = draft;
    for (const { instanceId, load, measuredAtMs, warmUp, othersSentAtMs, failures, isUnused } of event.servers) {
        recordLoad(draft, instanceId, { load, measuredAtMs, warmUp });
        const server = draft.server(instanceId);
        if (server === undefined) {
            continue;
        }
        const ownSends = server.unreportedSends.filter(({ vmId }) => vmId === undefined);
        // The hub knows of the other VMs' requests; what it told before is replaced.
        const othersSends = othersSentAtMs.map(sentAtMs => ({ sentAtMs, vmId: "" }));
        draft.updateServer(instanceId, {
            unreportedSends: [...ownSends, ...othersSends],
            isUsed: server.isUsed || !isUnused,
            failures: Math.max(decayFailures(server, atMs), failures),
            failuresAtMs: atMs,
        });
    }
    draft.updateService(event.service, { slowness: event.averageSlowness, loadsAnsweredAtMs: atMs });
    drainQueue(draft, event.service);
};
