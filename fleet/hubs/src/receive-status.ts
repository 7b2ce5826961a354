import type { HubState } from "./hub-state.js";
import type { KnownVm } from "./known-vm.js";
import { markJoined } from "./mark-joined.js";
import { selectLiveHub } from "./select-live-hub.js";
import type { StatusMessage } from "./status-message.js";

const updateVms = (state: HubState, message: StatusMessage, atMs: number): ReadonlyMap<string, KnownVm> => {
    const vms = new Map(state.vms);
    for (const { info, ageMs } of message.vms) {
        const known = vms.get(info.vmId);
        const lastSeenAtMs = atMs - ageMs;
        if (info.vmId !== state.self.vmId && lastSeenAtMs > (known?.lastSeenAtMs ?? -Infinity)) {
            vms.set(info.vmId, {
                info,
                lastSeenAtMs,
                lastHeardAtMs: known?.lastHeardAtMs ?? -Infinity,
                lastSeenAsHubAtMs: known?.lastSeenAsHubAtMs ?? -Infinity,
            });
        }
    }
    const { sender } = message;
    const known = vms.get(sender.vmId);
    vms.set(sender.vmId, {
        info: sender,
        lastSeenAtMs: atMs,
        lastHeardAtMs: atMs,
        lastSeenAsHubAtMs: message.isHub ? atMs : known?.lastSeenAsHubAtMs ?? -Infinity,
    });
    return vms;
};

const updateZoneReach = (state: HubState, message: StatusMessage): HubState["zoneReach"] => {
    const { sender, isHub, quotas } = message;
    return isHub && quotas !== undefined && sender.availabilityZone !== state.self.availabilityZone
        ? new Map(state.zoneReach).set(sender.availabilityZone, quotas.heardVms)
        : state.zoneReach;
};

/** Updates the known VMs from a heartbeat. */
export const receiveStatus = (state: HubState, message: StatusMessage, atMs: number): HubState => {
    const { sender, isHub } = message;
    const isOwnHub = isHub && sender.availabilityZone === state.self.availabilityZone;
    // A new hub learns at once that it hears this VM, as its part of the quotas depends on that.
    const isNewHub = isOwnHub && message.quotas !== undefined
        && selectLiveHub(state, atMs)?.vmId !== sender.vmId;
    return {
        ...markJoined(state, atMs),
        vms: updateVms(state, message, atMs),
        zoneReach: updateZoneReach(state, message),
        reportedFleetSize: isOwnHub ? message.fleetSize : state.reportedFleetSize,
        heartbeatSentAtMs: isNewHub && !state.isHub ? -Infinity : state.heartbeatSentAtMs,
    };
};
