import { isSameServer } from "./is-same-server.js";
import type { KnownServer } from "./known-server.js";
import type { RegistrationChange } from "./registration-change.js";
import { VIEW_LIMITS } from "./view-limits.js";
import type { ViewState } from "./view-state.js";

const MAX_RECENT_CHANGES = 48;

interface ApplyChangesOptions {
    readonly atMs: number;
    readonly changes: readonly RegistrationChange[];
    readonly nextOffset: number;
}

interface AppliedChanges {
    readonly state: ViewState;
    /** The changes that say something new. */
    readonly applied: readonly RegistrationChange[];
}

const applyOne = (
    servers: Map<string, KnownServer>,
    change: RegistrationChange,
    opts: { readonly atMs: number; readonly holdsRemovedUntilMs: number; },
): "none" | "told" | "changed" => {
    const { instanceId, offset, server } = change;
    const known = servers.get(instanceId);
    if (known !== undefined && known.offset >= offset) {
        return "none";
    }
    if (server === undefined) {
        if (known === undefined) {
            return "none";
        }
        // A server that said it leaves does not come back.
        if (opts.holdsRemovedUntilMs > opts.atMs && !known.server.isDraining) {
            servers.set(instanceId, { ...known, offset, heldUntilMs: opts.holdsRemovedUntilMs });
            return "told";
        }
        servers.delete(instanceId);
        return "changed";
    }
    servers.set(instanceId, { server, offset, heldUntilMs: undefined });
    if (known === undefined || !isSameServer(known.server, server)) {
        return "changed";
    }
    // Peers that hold it have to learn that it is registered again.
    return known.heldUntilMs === undefined ? "none" : "told";
};

const advance = (state: ViewState, offset: number): ViewState => {
    const { registrationReading } = state;
    const nextOffset = Math.max(offset, registrationReading.nextOffset ?? 0);
    return { ...state, registrationReading: { ...registrationReading, nextOffset } };
};

/** Applies changes of registrations in the order of their offsets. */
export const applyChanges = (state: ViewState, opts: ApplyChangesOptions): AppliedChanges => {
    if (opts.changes.length === 0) {
        return { state: advance(state, opts.nextOffset), applied: [] };
    }
    const servers = new Map(state.servers);
    const holdsRemovedUntilMs = state.outageEndedAtMs + VIEW_LIMITS.lapseHoldMs;
    const applied: RegistrationChange[] = [];
    const told: RegistrationChange[] = [];
    for (const change of opts.changes) {
        const result = applyOne(servers, change, { atMs: opts.atMs, holdsRemovedUntilMs });
        if (result === "changed") {
            applied.push(change);
        }
        if (result !== "none") {
            told.push(change);
        }
    }
    const recent = [...state.recentChanges, ...told];
    const dropped = recent.slice(0, Math.max(0, recent.length - MAX_RECENT_CHANGES));
    const lastDropped = dropped.at(-1);
    return {
        applied,
        state: {
            ...advance(state, opts.nextOffset),
            servers,
            recentChanges: recent.slice(dropped.length),
            recentBaseOffset: lastDropped === undefined ? state.recentBaseOffset : lastDropped.offset + 1,
        },
    };
};
