import { dispatchQueue } from "./dispatch-queue.js";
import { findServer } from "./find-server.js";
import { recordInstance } from "./record-instance.js";
import { recordLeaving } from "./record-leaving.js";
import { recordLoadReport } from "./record-load-report.js";
import { recordServerSuccess } from "./record-server-success.js";
import type { RoutingDraft } from "./routing-draft.js";
import type { RoutingEvent } from "./routing-event.js";
import { updateServer } from "./update-server.js";

type LoadProbed = Extract<RoutingEvent, { readonly type: "load-probed"; }>;

/**
 * Handles the result of a probe. A failed probe does not count as a failure of the backend server, since load endpoints
 * lag and mislead; it only moves the backend server to the end of the probing order.
 */
export const onLoadProbed = (draft: RoutingDraft, event: LoadProbed): void => {
    const { address, atMs } = event;
    const serviceName = draft.addressServices.get(address);
    const service = serviceName === undefined ? undefined : draft.service(serviceName);
    if (service === undefined) {
        return;
    }
    updateServer(service, address, { lastObservedAtMs: atMs });
    if (event.load === undefined && event.instanceId === undefined) {
        return;
    }
    recordInstance(draft, service, address, event.instanceId);
    const server = findServer(service, address);
    if (server === undefined || event.instanceId !== undefined && server.instanceId !== event.instanceId) {
        return;
    }
    // Without an instance id, the evidence applies until the instance is known.
    const instanceId = event.instanceId ?? server.instanceId ?? "";
    if (event.draining) {
        if (recordLeaving(draft, service, address, { instanceId, observedBy: draft.base.vmId })) {
            draft.emit({
                type: "publish-evidence",
                evidence: { service: service.name, address, instanceId, kind: "leaving", observedBy: draft.base.vmId },
            });
        }
        return;
    }
    if (server.leavingContradicted) {
        updateServer(service, address, { leavingContradicted: false, leavingInstanceIds: [] });
    }
    if (event.load !== undefined) {
        recordLoadReport(service, address, {
            atMs,
            load: event.load,
            ownInFlight: server.ownInFlight,
            source: "probe",
        });
    }
    recordServerSuccess(draft, service, address);
    dispatchQueue(draft, service);
};
