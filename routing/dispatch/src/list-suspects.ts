import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchState } from "./dispatch-state.js";
import { selectHold } from "./select-hold.js";
import type { SuspectRequest } from "./suspect-request.js";

/** Requests under which servers ended lately or that are held back, those that are held back first, for other VMs. */
export const listSuspects = (state: DispatchState, atMs: number): readonly SuspectRequest[] =>
    [...state.suspects.values()]
        .map(suspect => ({ suspect, untilMs: selectHold(suspect).untilMs }))
        .filter(({ suspect: { crashes, completedAtMs }, untilMs }) =>
            untilMs > atMs
            || atMs - Math.max(completedAtMs, crashes.at(-1)?.atMs ?? 0) <= DISPATCH_LIMITS.suspectToldForMs
        )
        .sort((a, b) => b.untilMs - a.untilMs)
        .slice(0, DISPATCH_LIMITS.maxSuspectFindings)
        .map(({ suspect }) => suspect);
