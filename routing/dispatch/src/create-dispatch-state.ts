import type { EntrySettings } from "@marigoldstall/core.types";
import type { DispatchState } from "./dispatch-state.js";

// Before the fleet is known, a VM uses a part of the retry budget that is too small rather than too large.
const INITIAL_VM_COUNT = 16;

/** State of a daemon that knows no configuration and no backend server. */
export const createDispatchState = (
    opts: Pick<EntrySettings, "availabilityZone" | "retryBudget">,
): DispatchState => ({
    availabilityZone: opts.availabilityZone,
    retryBudget: opts.retryBudget,
    vmCount: INITIAL_VM_COUNT,
    configuration: undefined,
    services: new Map(),
    requests: new Map(),
    attemptRequests: new Map(),
    serverServices: new Map(),
    splitCredits: new Map(),
    nextAttempt: 1,
});
