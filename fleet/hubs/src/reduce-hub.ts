import type { Transition } from "@marigoldstall/core.types";
import { addLoadNews } from "./add-load-news.js";
import { addSendingNews } from "./add-sending-news.js";
import type { HubEffect } from "./hub-effect.js";
import type { HubEvent } from "./hub-event.js";
import type { HubState } from "./hub-state.js";
import { receiveMessage } from "./receive-message.js";
import { tickHub } from "./tick-hub.js";

const addVms = (
    state: HubState,
    event: Extract<HubEvent, { readonly type: "vms-found"; }>,
): HubState => {
    const vms = new Map(state.vms);
    for (const info of event.vms) {
        if (info.vmId !== state.self.vmId && !vms.has(info.vmId)) {
            vms.set(info.vmId, { info, aliveAtMs: event.atMs, hubAtMs: -Infinity });
        }
    }
    return { ...state, vms };
};

/** Reducer of the exchange between VMs. */
export const reduceHub = (state: HubState, event: HubEvent): Transition<HubState, HubEffect> => {
    switch (event.type) {
        case "hub-tick":
            return tickHub(state, event);
        case "vms-found":
            return { state: addVms(state, event), effects: [] };
        case "message-received":
            return { state: receiveMessage(state, event.message, event.atMs), effects: [] };
        case "load-learnt": {
            const { atMs, instanceId, load } = event;
            const news = { atMs, loads: [{ instanceId, load, ageMs: 0 }], isOfOwnZone: true };
            return { state: addLoadNews(state, news), effects: [] };
        }
        case "request-sent": {
            const { atMs, instanceId } = event;
            const news = { atMs, instanceId, sentAtMs: atMs, isOfOwnZone: true };
            return { state: addSendingNews(state, news), effects: [] };
        }
    }
};
