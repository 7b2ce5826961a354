import type { CreateMembershipStateOptions } from "./create-membership-state-options.js";
import type { MembershipState } from "./membership-state.js";

/** Creates the initial state, without any peers. */
export const createMembershipState = (opts: CreateMembershipStateOptions): MembershipState => ({
    self: opts.self,
    stopping: false,
    beat: 1,
    configurationVersion: 0,
    pressure: [],
    peers: new Map(),
    evidence: [],
    startedAtMs: opts.atMs,
    lastTickAtMs: opts.atMs,
    vmList: undefined,
    members: undefined,
});
