import type { ViewSnapshot } from "./view-snapshot.js";
import type { ViewState } from "./view-state.js";

/** The whole view for a peer; undefined when this daemon has none. Registrations that lapsed are left out. */
export const selectViewSnapshot = (state: ViewState, atMs: number): ViewSnapshot | undefined => {
    const { nextOffset, confirmedAtMs, confirmation } = state.registrationReading;
    if (nextOffset === undefined) {
        return undefined;
    }
    return {
        nextOffset,
        registrations: [...state.servers.values()]
            .filter(known => known.heldUntilMs === undefined)
            .map(known => ({ offset: known.offset, instanceId: known.server.instanceId, server: known.server })),
        ageMs: atMs - confirmedAtMs,
        confirmation,
    };
};
