import { HUB_LIMITS } from "./hub-limits.js";
import type { HubState } from "./hub-state.js";
import type { VmInfo } from "./vm-info.js";

/** Creates the state of a VM that does not know any other VM yet. */
export const createHubState = (self: VmInfo, opts: { readonly atMs: number; }): HubState => ({
    self,
    expectsHubSinceMs: opts.atMs + HUB_LIMITS.joinTimeoutMs,
    hasJoined: false,
    vms: new Map(),
    isHub: false,
    outbox: {
        loads: new Map(),
        sentRequests: [],
        failures: [],
        hasChangedFindings: false,
        hasChangedUsage: false,
        queuedSinceMs: undefined,
    },
    zoneReach: new Map(),
    heartbeatSentAtMs: -Infinity,
    peersInformedAtMs: -Infinity,
    vmListSentAtMs: -Infinity,
    reconnectTriedAtMs: -Infinity,
    reconnectAttempts: 0,
    findingsSentAtMs: -Infinity,
    reportedFleetSize: 1,
    announced: undefined,
    repeatWindowEnd: undefined,
    repeatWindowStartedAtMs: -Infinity,
});
