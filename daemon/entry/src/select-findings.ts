import type { Findings } from "@marigoldstall/fleet.hubs";
import { listLeaving, listLimits, listSuspects } from "@marigoldstall/routing.dispatch";
import type { EntryState } from "./entry-state.js";

/** What this VM tells others about backend servers, and about requests under which servers ended. */
export const selectFindings = ({ dispatch }: EntryState, atMs: number): Findings => ({
    limits: listLimits(dispatch, atMs),
    leaving: listLeaving(dispatch, atMs),
    suspects: listSuspects(dispatch, atMs).map(({ fingerprint, completedAtMs, crashes }) => ({
        fingerprint,
        completionAgeMs: atMs - completedAtMs,
        crashes: crashes.map(({ atMs: crashedAtMs, ...crash }) => ({ ...crash, ageMs: atMs - crashedAtMs })),
    })),
});
