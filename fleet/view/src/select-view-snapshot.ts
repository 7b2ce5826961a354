import type { ViewSnapshot } from "./view-snapshot.js";
import type { ViewState } from "./view-state.js";

/** The registrations for a peer without the expired ones, or undefined if this daemon has not received any list yet. */
export const selectViewSnapshot = (state: ViewState, atMs: number): ViewSnapshot | undefined => {
    const { nextOffset, confirmedAtMs, confirmation } = state.registrationReading;
    if (nextOffset === undefined) {
        return undefined;
    }
    return {
        nextOffset,
        registrations: [...state.servers.values()]
            .filter(known => known.retainedUntilMs === undefined)
            .map(known => ({ offset: known.offset, instanceId: known.server.instanceId, server: known.server })),
        ageMs: atMs - confirmedAtMs,
        confirmation,
    };
};
