import { dispatchQueue } from "./dispatch-queue.js";
import { findServer } from "./find-server.js";
import { noteInstance } from "./note-instance.js";
import { noteLeaving } from "./note-leaving.js";
import { noteLoad } from "./note-load.js";
import { noteSuccess } from "./note-success.js";
import type { RoutingDraft } from "./routing-draft.js";
import type { RoutingEvent } from "./routing-event.js";
import { updateServer } from "./update-server.js";

type LoadProbed = Extract<RoutingEvent, { readonly type: "load-probed"; }>;

/**
 * Takes the result of a probe. A failed probe is no failure of the backend server's work, since load endpoints lag
 * and mislead; it only moves the backend server to the end of the probing order.
 */
export const onLoadProbed = (draft: RoutingDraft, event: LoadProbed): void => {
    const { address, atMs } = event;
    const serviceName = draft.addressServices.get(address);
    const service = serviceName === undefined ? undefined : draft.service(serviceName);
    if (service === undefined) {
        return;
    }
    updateServer(service, address, { informedAtMs: atMs });
    if (event.load === undefined && event.instanceId === undefined) {
        return;
    }
    noteInstance(draft, service, address, event.instanceId);
    const server = findServer(service, address);
    if (server === undefined || event.instanceId !== undefined && server.instanceId !== event.instanceId) {
        return;
    }
    // Without an instance id the evidence counts until an instance shows itself.
    const instanceId = event.instanceId ?? server.instanceId ?? "";
    if (event.draining) {
        if (noteLeaving(draft, service, address, { instanceId, observedBy: draft.base.vmId })) {
            draft.emit({
                type: "publish-evidence",
                evidence: { service: service.name, address, instanceId, kind: "leaving", observedBy: draft.base.vmId },
            });
        }
        return;
    }
    if (server.leavingDoubted) {
        updateServer(service, address, { leavingDoubted: false, leavingInstanceIds: [] });
    }
    if (event.load !== undefined) {
        noteLoad(service, address, { atMs, load: event.load, ownInFlight: server.ownInFlight, source: "probe" });
    }
    noteSuccess(draft, service, address);
    dispatchQueue(draft, service);
};
