import type { EntrySettings } from "@marigoldstall/core.types";
import { createHubState } from "@marigoldstall/fleet.hubs";
import { createViewState } from "@marigoldstall/fleet.view";
import { createDispatchState } from "@marigoldstall/routing.dispatch";
import type { EntryState } from "./entry-state.js";
import { toVmInfo } from "./to-vm-info.js";

// Before the fleet is known, a VM uses a part of the retry budget that is too small rather than too large.
const INITIAL_VM_COUNT = 16;

/** State of a daemon that has just started. */
export const createEntryState = (
    settings: EntrySettings,
    opts: { readonly atMs: number; readonly incarnation: string; },
): EntryState => ({
    view: createViewState({ readerId: `${settings.vmId}/${opts.incarnation}` }),
    hub: createHubState(toVmInfo(settings), opts),
    dispatch: { ...createDispatchState(settings), vmCount: INITIAL_VM_COUNT },
    vmCount: 1,
});
