import type { Transition } from "@marigoldstall/core.types";
import type { HubEffect } from "./hub-effect.js";
import type { HubEvent } from "./hub-event.js";
import type { HubState } from "./hub-state.js";
import { markJoined } from "./mark-joined.js";
import { queueFailures } from "./queue-failures.js";
import { queueFindings } from "./queue-findings.js";
import { queueLoadUpdates } from "./queue-load-updates.js";
import { queueSentRequest } from "./queue-sent-request.js";
import { queueUsage } from "./queue-usage.js";
import { receiveStatus } from "./receive-status.js";
import { receiveUpdates } from "./receive-updates.js";
import { tickHub } from "./tick-hub.js";

const addVms = (
    state: HubState,
    event: Extract<HubEvent, { readonly type: "vms-found"; }>,
): HubState => {
    const vms = new Map(state.vms);
    for (const info of event.vms) {
        if (info.vmId !== state.self.vmId && !vms.has(info.vmId)) {
            vms.set(info.vmId, {
                info,
                lastSeenAtMs: event.atMs,
                lastHeardAtMs: -Infinity,
                lastSeenAsHubAtMs: -Infinity,
            });
        }
    }
    return { ...markJoined(state, event.atMs), vms };
};

/** Reducer for hub selection and the messages between VMs. Each VM decides on its own whether it is the hub. */
export const reduceHub = (state: HubState, event: HubEvent): Transition<HubState, HubEffect> => {
    switch (event.type) {
        case "hub-tick":
            return tickHub(state, event);
        case "findings-changed":
            return { state: queueFindings(state, event.atMs), effects: [] };
        case "usage-changed":
            return { state: queueUsage(state, event.atMs), effects: [] };
        case "vms-found":
            return { state: addVms(state, event), effects: [] };
        case "status-received":
            return { state: receiveStatus(state, event.message, event.atMs), effects: [] };
        case "updates-received":
            return { state: receiveUpdates(state, event.message, event.atMs), effects: [] };
        case "load-reported": {
            const { atMs, instanceId, load } = event;
            const update = { atMs, loads: [{ instanceId, load, ageMs: 0 }] };
            return { state: queueLoadUpdates(state, update), effects: [] };
        }
        case "request-sent": {
            const { atMs, instanceId } = event;
            return { state: queueSentRequest(state, { atMs, instanceId, sentAtMs: atMs }), effects: [] };
        }
        case "server-failed": {
            const { atMs, instanceId, weight } = event;
            return { state: queueFailures(state, { atMs, failures: [{ instanceId, weight }] }), effects: [] };
        }
    }
};
