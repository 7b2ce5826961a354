import type { EntrySettings } from "@marigoldstall/core.types";
import { createHubState } from "@marigoldstall/fleet.hubs";
import { createViewState } from "@marigoldstall/fleet.view";
import { createDispatchState } from "@marigoldstall/routing.dispatch";
import { ENTRY_LIMITS } from "./entry-limits.js";
import type { EntryState } from "./entry-state.js";
import { toVmInfo } from "./to-vm-info.js";

// Part of the allowed health checks that hubs use; the rest is for checks before sendings and for two hubs at a time.
const MEASURED_SHARE = 0.5;
const MS_PER_SECOND = 1_000;
// Hubs are known after 250 ms.
const FIRST_READ_MS = 300;

/** State of a daemon that has just started. */
export const createEntryState = (
    settings: EntrySettings,
    opts: { readonly atMs: number; readonly incarnation: string; },
): EntryState => ({
    view: createViewState({
        readerId: `${settings.vmId}/${opts.incarnation}`,
        heartbeatMs: settings.heartbeatMs,
        // A restarted VM reads at once, as callers wait for it. When all VMs start together, the hubs read for all.
        ...settings.isFirstStart ? { firstReadAtMs: opts.atMs + FIRST_READ_MS } : {},
    }),
    hub: createHubState(toVmInfo(settings), opts),
    dispatch: createDispatchState(settings),
    viewTickedAtMs: -Infinity,
    probeIntervalMs: Math.max(
        ENTRY_LIMITS.probeIntervalMs,
        MS_PER_SECOND / (settings.maxProbesPerSecond * MEASURED_SHARE),
    ),
});
