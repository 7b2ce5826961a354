import type { Findings } from "@marigoldstall/fleet.hubs";
import { listLimits } from "@marigoldstall/routing.dispatch";
import type { EntryState } from "./entry-state.js";

/** What this VM tells others about backend servers. */
export const selectFindings = (state: EntryState, atMs: number): Findings => ({
    limits: listLimits(state.dispatch, atMs),
});
