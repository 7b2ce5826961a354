import type { HubState } from "./hub-state.js";
import type { KnownVm } from "./known-vm.js";
import { markJoined } from "./mark-joined.js";
import type { StatusMessage } from "./status-message.js";

const updateVms = (state: HubState, message: StatusMessage, atMs: number): ReadonlyMap<string, KnownVm> => {
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

/** Updates the known VMs from a heartbeat. */
export const receiveStatus = (state: HubState, message: StatusMessage, atMs: number): HubState => {
    const { sender, isHub } = message;
    const isOwnHub = isHub && sender.availabilityZone === state.self.availabilityZone;
    return {
        ...markJoined(state, atMs),
        vms: updateVms(state, message, atMs),
        reportedFleetSize: isOwnHub ? message.fleetSize : state.reportedFleetSize,
    };
};
