import { listEvacuations } from "./list-evacuations.js";
import { selectWithheldUntilMs } from "./select-withheld-until-ms.js";
import type { ViewSnapshot } from "./view-snapshot.js";
import type { ViewState } from "./view-state.js";

/** The registrations for a peer without the expired ones, or undefined if this daemon has not received any list yet. */
export const selectViewSnapshot = (state: ViewState, atMs: number): ViewSnapshot | undefined => {
    const { next, confirmedAtMs, confirmation } = state.registrationReading;
    if (next === undefined) {
        return undefined;
    }
    const withheld = [...state.withheld.values()];
    return {
        era: next.era,
        nextOffset: next.offset,
        eraStartOffset: state.listedEra === next.era ? state.eraStartOffset : undefined,
        registrations: [
            ...[...state.servers.values()].filter(known => known.retainedUntilMs === undefined),
            ...withheld.filter(({ isInUse }) => isInUse),
        ]
            .map(({ position, server }) => ({ offset: position.offset, instanceId: server.instanceId, server })),
        withheld: withheld.filter(({ isInUse }) => !isInUse).map(one => ({
            offset: one.position.offset,
            instanceId: one.server.instanceId,
            server: one.server,
            remainingMs: selectWithheldUntilMs(state, one) - atMs,
        })),
        departed: [...state.departed].map(([instanceId, { startedAtUnixMs, isDraining, removedAtMs }]) => ({
            instanceId,
            startedAtUnixMs,
            isDraining,
            ageMs: atMs - removedAtMs,
        })),
        ageMs: atMs - confirmedAtMs,
        confirmation,
        ...listEvacuations(state),
    };
};
