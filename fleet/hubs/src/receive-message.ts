import type { FleetMessage } from "./fleet-message.js";
import type { HubState } from "./hub-state.js";
import type { KnownVm } from "./known-vm.js";
import { queueLoadUpdates } from "./queue-load-updates.js";
import { queueSentRequest } from "./queue-sent-request.js";

const updateVms = (state: HubState, message: FleetMessage, atMs: number): ReadonlyMap<string, KnownVm> => {
    const vms = new Map(state.vms);
    for (const { info, ageMs } of message.vms) {
        const known = vms.get(info.vmId);
        const lastSeenAtMs = atMs - ageMs;
        if (info.vmId !== state.self.vmId && lastSeenAtMs > (known?.lastSeenAtMs ?? -Infinity)) {
            vms.set(info.vmId, { info, lastSeenAtMs, lastSeenAsHubAtMs: known?.lastSeenAsHubAtMs ?? -Infinity });
        }
    }
    const { sender } = message;
    const known = vms.get(sender.vmId);
    vms.set(sender.vmId, {
        info: sender,
        lastSeenAtMs: atMs,
        lastSeenAsHubAtMs: message.isHub ? atMs : known?.lastSeenAsHubAtMs ?? -Infinity,
    });
    return vms;
};

/** Updates the known VMs from a message and, on a hub, queues its updates for forwarding. */
export const receiveMessage = (state: HubState, message: FleetMessage, atMs: number): HubState => {
    const updated = { ...state, vms: updateVms(state, message, atMs) };
    const isFromOwnZone = message.sender.availabilityZone === state.self.availabilityZone;
    // Another hub of the same zone sends its updates to the members itself.
    if (!state.isHub || (isFromOwnZone && message.isHub)) {
        return updated;
    }
    let next = queueLoadUpdates(updated, { atMs, loads: message.loads, isFromOwnZone });
    for (const { instanceId, ageMs } of message.sentRequests) {
        next = queueSentRequest(next, { atMs, instanceId, sentAtMs: atMs - ageMs, isFromOwnZone });
    }
    return next;
};
