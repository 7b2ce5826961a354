import type { HubState } from "./hub-state.js";
import type { VmInfo } from "./vm-info.js";

/** State of a VM that has heard of no other one. */
export const createHubState = (self: VmInfo, opts: { readonly atMs: number; }): HubState => ({
    self,
    startedAtMs: opts.atMs,
    vms: new Map(),
    isHub: false,
    outbox: { loads: new Map(), sendings: [], sinceMs: undefined },
    sentAtMs: -Infinity,
    vmListSentAtMs: -Infinity,
    toldOffset: 0,
    tellingOffset: 0,
    tellingSinceMs: -Infinity,
});
