import type { CreateMembershipStateOptions } from "./create-membership-state-options.js";
import type { MembershipState } from "./membership-state.js";

/** State of a daemon that knows no peers yet. */
export const createMembershipState = (opts: CreateMembershipStateOptions): MembershipState => ({
    self: opts.self,
    stopping: false,
    beat: 1,
    configurationVersion: 0,
    pressure: [],
    peers: new Map(),
    evidence: [],
    startedAtMs: opts.atMs,
    tickedAtMs: opts.atMs,
    vmList: undefined,
    members: undefined,
});
