import type { HubState } from "./hub-state.js";
import { queueFailures } from "./queue-failures.js";
import { queueLoadUpdates } from "./queue-load-updates.js";
import { queueSentRequest } from "./queue-sent-request.js";
import { selectHubTimeoutMs } from "./select-hub-timeout-ms.js";
import type { UpdatesMessage } from "./updates-message.js";

/** Queues the updates of a member for the other zones, if this VM is the hub. */
export const receiveUpdates = (state: HubState, message: UpdatesMessage, atMs: number): HubState => {
    const sender = state.vms.get(message.vmId);
    const isFromOwnZone = sender?.info.availabilityZone === state.self.availabilityZone;
    // A hub, of this or another zone, informs the other zones itself.
    const isFromHub = sender !== undefined && atMs - sender.lastSeenAsHubAtMs <= selectHubTimeoutMs(state, atMs);
    if (!state.isHub || !isFromOwnZone || isFromHub) {
        return state;
    }
    let next = queueLoadUpdates(state, { atMs, loads: message.loads });
    next = queueFailures(next, { atMs, failures: message.failures });
    for (const { instanceId, ageMs } of message.sentRequests) {
        next = queueSentRequest(next, { atMs, instanceId, sentAtMs: atMs - ageMs });
    }
    return next;
};
