import type { EntrySettings } from "@marigoldstall/core.types";
import { createHubState } from "@marigoldstall/fleet.hubs";
import { createViewState } from "@marigoldstall/fleet.view";
import { createDispatchState } from "@marigoldstall/routing.dispatch";
import { createQuotaState } from "@marigoldstall/routing.quotas";
import type { EntryState } from "./entry-state.js";
import { ENTRY_TIMINGS } from "./entry-timings.js";
import { toVmInfo } from "./to-vm-info.js";

// Share of the allowed health checks that hubs use for periodic probes. The rest is left for preflight checks and for
// times at which a zone has two hubs.
const PERIODIC_PROBE_SHARE = 0.5;
const MS_PER_SECOND = 1_000;
// The hubs are known after 250 ms at the first start.
const FIRST_READ_DELAY_MS = 300;

/** Creates the initial state of the daemon. */
export const createEntryState = (
    settings: EntrySettings,
    opts: { readonly atMs: number; readonly incarnation: string; readonly hedgeShare?: number | undefined; },
): EntryState => ({
    view: createViewState({
        readerId: `${settings.vmId}/${opts.incarnation}`,
        heartbeatMs: settings.heartbeatMs,
        // When all VMs start together, only the hubs read the store and share the result. A restarted VM asks the seeds
        // first, since the store may just have been restored from a copy that is older than what is in force.
        firstReadAtMs: settings.isFirstStart ? opts.atMs + FIRST_READ_DELAY_MS : Infinity,
    }),
    hub: createHubState(toVmInfo(settings), opts),
    dispatch: createDispatchState({ ...settings, hedgeShare: opts.hedgeShare }),
    quotas: createQuotaState({
        bounds: settings.quotaBounds,
        reporterId: `${settings.vmId}/${opts.incarnation}`,
        availabilityZone: settings.availabilityZone,
        atMs: opts.atMs,
    }),
    isProber: false,
    zoneServerCount: 0,
    lastViewTickAtMs: -Infinity,
    probeIntervalMs: Math.max(
        ENTRY_TIMINGS.probeIntervalMs,
        MS_PER_SECOND / (settings.maxProbesPerSecond * PERIODIC_PROBE_SHARE),
    ),
});
