import type { HubState } from "./hub-state.js";
import type { VmInfo } from "./vm-info.js";

/** Creates the state of a VM that does not know any other VM yet. */
export const createHubState = (self: VmInfo, opts: { readonly atMs: number; }): HubState => ({
    self,
    startedAtMs: opts.atMs,
    vms: new Map(),
    isHub: false,
    outbox: { loads: new Map(), sentRequests: [], queuedSinceMs: undefined },
    lastSentAtMs: -Infinity,
    vmListSentAtMs: -Infinity,
    announcedOffset: 0,
    repeatWindowOffset: 0,
    repeatWindowStartedAtMs: -Infinity,
});
