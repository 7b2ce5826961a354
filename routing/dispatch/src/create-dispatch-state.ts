import type { EntrySettings } from "@marigoldstall/core.types";
import type { DispatchState } from "./dispatch-state.js";

/** State of a daemon that knows no configuration and no backend server. */
export const createDispatchState = (
    opts: Pick<EntrySettings, "availabilityZone" | "retryBudget">,
): DispatchState => ({
    availabilityZone: opts.availabilityZone,
    retryBudget: opts.retryBudget,
    vmCount: 1,
    configuration: undefined,
    services: new Map(),
    requests: new Map(),
    attemptRequests: new Map(),
    serverServices: new Map(),
    splitCredits: new Map(),
    nextAttempt: 1,
});
