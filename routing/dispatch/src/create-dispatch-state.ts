import type { EntrySettings } from "@marigoldstall/core.types";
import type { DispatchState } from "./dispatch-state.js";
import { selectKeyLeaseMs } from "./select-key-lease-ms.js";

// Until the size of the fleet is known, a high count keeps this VM's part of the retry budget small.
const INITIAL_VM_COUNT = 16;

/** Initial state, without a configuration or backend servers. */
export const createDispatchState = (
    opts:
        & Pick<EntrySettings, "availabilityZone" | "retryBudget" | "keyRevocationMs" | "quotaBounds" | "coldBounds">
        & { readonly hedgeShare?: number | undefined; },
): DispatchState => ({
    availabilityZone: opts.availabilityZone,
    retryBudget: opts.retryBudget,
    coldBounds: opts.coldBounds,
    hedgeShare: opts.hedgeShare ?? 0,
    vmCount: INITIAL_VM_COUNT,
    loadQueryIntervalMs: undefined,
    roundTripMsByZone: new Map(),
    configuration: undefined,
    keyLeaseMs: selectKeyLeaseMs(opts.keyRevocationMs),
    limitsTenants: opts.quotaBounds !== undefined,
    evacuatedZones: new Set(),
    services: new Map(),
    requests: new Map(),
    requestKeysByAttempt: new Map(),
    servicesByInstance: new Map(),
    leavingStarts: new Map(),
    formerServers: new Map(),
    splitCreditsByRoute: new Map(),
    nextAttempt: 1,
    processEndsAtMs: Infinity,
    brokenAttempts: new Map(),
    suspects: new Map(),
    completions: new Map(),
});
