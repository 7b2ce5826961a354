import type { EntrySettings } from "@marigoldstall/core.types";
import { createHubState } from "@marigoldstall/fleet.hubs";
import { createViewState } from "@marigoldstall/fleet.view";
import { createDispatchState } from "@marigoldstall/routing.dispatch";
import type { EntryState } from "./entry-state.js";
import { ENTRY_TIMINGS } from "./entry-timings.js";
import { toVmInfo } from "./to-vm-info.js";

// Share of the allowed health checks that hubs use for periodic probes. The rest is left for preflight checks and for
// times at which a zone has two hubs.
const PERIODIC_PROBE_SHARE = 0.5;
const MS_PER_SECOND = 1_000;
// The hubs are known after 250 ms.
const FIRST_READ_DELAY_MS = 300;

/** Creates the initial state of the daemon. */
export const createEntryState = (
    settings: EntrySettings,
    opts: { readonly atMs: number; readonly incarnation: string; },
): EntryState => ({
    view: createViewState({
        readerId: `${settings.vmId}/${opts.incarnation}`,
        heartbeatMs: settings.heartbeatMs,
        // A restarted VM reads the store immediately because callers are waiting for it. When all VMs start together,
        // only the hubs read the store and share the result.
        ...settings.isFirstStart ? { firstReadAtMs: opts.atMs + FIRST_READ_DELAY_MS } : {},
    }),
    hub: createHubState(toVmInfo(settings), opts),
    dispatch: createDispatchState(settings),
    isProber: false,
    zoneServerCount: 0,
    lastViewTickAtMs: -Infinity,
    probeIntervalMs: Math.max(
        ENTRY_TIMINGS.probeIntervalMs,
        MS_PER_SECOND / (settings.maxProbesPerSecond * PERIODIC_PROBE_SHARE),
    ),
});
