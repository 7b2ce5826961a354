import { addLoadNews } from "./add-load-news.js";
import { addSendingNews } from "./add-sending-news.js";
import type { FleetMessage } from "./fleet-message.js";
import type { HubState } from "./hub-state.js";
import type { KnownVm } from "./known-vm.js";

const noteVms = (state: HubState, message: FleetMessage, atMs: number): ReadonlyMap<string, KnownVm> => {
    const vms = new Map(state.vms);
    for (const { info, ageMs } of message.vms) {
        const known = vms.get(info.vmId);
        const aliveAtMs = atMs - ageMs;
        if (info.vmId !== state.self.vmId && aliveAtMs > (known?.aliveAtMs ?? -Infinity)) {
            vms.set(info.vmId, { info, aliveAtMs, hubAtMs: known?.hubAtMs ?? -Infinity });
        }
    }
    const { sender } = message;
    const known = vms.get(sender.vmId);
    vms.set(sender.vmId, {
        info: sender,
        aliveAtMs: atMs,
        hubAtMs: message.isHub ? atMs : known?.hubAtMs ?? -Infinity,
    });
    return vms;
};

/** Notes who is alive, and puts the news of a message into the outbox of a hub. */
export const receiveMessage = (state: HubState, message: FleetMessage, atMs: number): HubState => {
    const noted = { ...state, vms: noteVms(state, message, atMs) };
    const isOfOwnZone = message.sender.availabilityZone === state.self.availabilityZone;
    // What another hub of the own zone tells reaches the members by itself.
    if (!state.isHub || (isOfOwnZone && message.isHub)) {
        return noted;
    }
    let next = addLoadNews(noted, { atMs, loads: message.loads, isOfOwnZone });
    for (const { instanceId, ageMs } of message.sendings) {
        next = addSendingNews(next, { atMs, instanceId, sentAtMs: atMs - ageMs, isOfOwnZone });
    }
    return next;
};
