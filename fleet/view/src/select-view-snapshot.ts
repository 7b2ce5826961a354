import { selectWithheldUntilMs } from "./select-withheld-until-ms.js";
import type { ViewSnapshot } from "./view-snapshot.js";
import type { ViewState } from "./view-state.js";

/** The registrations for a peer without the expired ones, or undefined if this daemon has not received any list yet. */
export const selectViewSnapshot = (state: ViewState, atMs: number): ViewSnapshot | undefined => {
    const { next, confirmedAtMs, confirmation } = state.registrationReading;
    if (next === undefined) {
        return undefined;
    }
    return {
        era: next.era,
        nextOffset: next.offset,
        eraStartOffset: state.listedEra === next.era ? state.eraStartOffset : undefined,
        registrations: [...state.servers.values()]
            .filter(known => known.retainedUntilMs === undefined)
            .map(({ position, server }) => ({ offset: position.offset, instanceId: server.instanceId, server })),
        withheld: [...state.withheld.values()].map(withheld => ({
            offset: withheld.position.offset,
            instanceId: withheld.server.instanceId,
            server: withheld.server,
            remainingMs: selectWithheldUntilMs(state, withheld) - atMs,
        })),
        departed: [...state.departed].map(([instanceId, { startedAtUnixMs, isDraining, removedAtMs }]) => ({
            instanceId,
            startedAtUnixMs,
            isDraining,
            ageMs: atMs - removedAtMs,
        })),
        ageMs: atMs - confirmedAtMs,
        confirmation,
    };
};
