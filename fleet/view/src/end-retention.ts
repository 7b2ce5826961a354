import type { Transition } from "@marigoldstall/core.types";
import type { KnownServer } from "./known-server.js";
import type { RegistrationChange } from "./registration-change.js";
import { selectWithheldUntilMs } from "./select-withheld-until-ms.js";
import { toDepartedServer } from "./to-departed-server.js";
import type { ViewEffect } from "./view-effect.js";
import { VIEW_LIMITS } from "./view-limits.js";
import type { ViewState } from "./view-state.js";

const removeExpired = (state: ViewState, atMs: number, effects: ViewEffect[]): ViewState => {
    const expired: KnownServer[] = [];
    for (const known of state.servers.values()) {
        if (known.retainedUntilMs !== undefined && known.retainedUntilMs <= atMs) {
            expired.push(known);
        }
    }
    if (expired.length === 0) {
        return state;
    }
    const servers = new Map(state.servers);
    const departed = new Map(state.departed);
    const changes: RegistrationChange[] = [];
    for (const { server, position } of expired) {
        servers.delete(server.instanceId);
        departed.set(server.instanceId, toDepartedServer(server, atMs));
        changes.push({ offset: position.offset, instanceId: server.instanceId, server: undefined });
    }
    effects.push({ type: "servers-changed", changes, source: "expired" });
    return { ...state, servers, departed };
};

// The registration of a server that had left counts as renewed only if a read that started after its time still shows
// it.
const useWithheld = (state: ViewState, atMs: number, effects: ViewEffect[]): ViewState => {
    const { confirmedAtMs } = state.registrationReading;
    const due = [...state.withheld.values()].filter(withheld =>
        (withheld.isInUse ? atMs : confirmedAtMs) >= selectWithheldUntilMs(state, withheld)
    );
    if (due.length === 0) {
        return state;
    }
    const servers = new Map(state.servers);
    const withheld = new Map(state.withheld);
    const departed = new Map(state.departed);
    const changes: RegistrationChange[] = [];
    for (const { server, position } of due) {
        withheld.delete(server.instanceId);
        departed.delete(server.instanceId);
        servers.set(server.instanceId, { server, position, retainedUntilMs: undefined });
        changes.push({ offset: position.offset, instanceId: server.instanceId, server });
    }
    effects.push({ type: "servers-changed", changes, source: "restored" });
    return { ...state, servers, withheld, departed };
};

const forgetDeparted = (state: ViewState, atMs: number): ViewState => {
    const departed = [...state.departed].filter(([, { removedAtMs }]) =>
        atMs - removedAtMs < VIEW_LIMITS.departedRetentionMs
    );
    return departed.length === state.departed.size ? state : { ...state, departed: new Map(departed) };
};

/** Removes expired registrations, uses withheld ones that did not expire, and forgets servers that left long ago. */
export const endRetention = (state: ViewState, atMs: number): Transition<ViewState, ViewEffect> => {
    const effects: ViewEffect[] = [];
    const next = forgetDeparted(useWithheld(removeExpired(state, atMs, effects), atMs, effects), atMs);
    return { state: next, effects };
};
