import { isSameServer } from "./is-same-server.js";
import type { KnownServer } from "./known-server.js";
import type { RegistrationChange } from "./registration-change.js";
import { VIEW_LIMITS } from "./view-limits.js";
import type { ViewState } from "./view-state.js";

const MAX_RECENT_CHANGES = 48;

interface ApplyRegistrationChangesOptions {
    readonly atMs: number;
    readonly changes: readonly RegistrationChange[];
    readonly nextOffset: number;
}

interface AppliedChanges {
    readonly state: ViewState;
    /** The changes that affect the set of servers or a property of a server. */
    readonly applied: readonly RegistrationChange[];
}

const applyChange = (
    servers: Map<string, KnownServer>,
    change: RegistrationChange,
    opts: { readonly atMs: number; readonly retainRemovedUntilMs: number; },
): "none" | "propagated" | "changed" => {
    const { instanceId, offset, server } = change;
    const known = servers.get(instanceId);
    if (known !== undefined && known.offset >= offset) {
        return "none";
    }
    if (server === undefined) {
        if (known === undefined) {
            return "none";
        }
        // A draining server does not register again.
        if (opts.retainRemovedUntilMs > opts.atMs && !known.server.isDraining) {
            servers.set(instanceId, { ...known, offset, retainedUntilMs: opts.retainRemovedUntilMs });
            return "propagated";
        }
        servers.delete(instanceId);
        return "changed";
    }
    servers.set(instanceId, { server, offset, retainedUntilMs: undefined });
    if (known === undefined || !isSameServer(known.server, server)) {
        return "changed";
    }
    // Peers that retain the expired registration must learn that it was renewed.
    return known.retainedUntilMs === undefined ? "none" : "propagated";
};

const advanceNextOffset = (state: ViewState, offset: number): ViewState => {
    const { registrationReading } = state;
    const nextOffset = Math.max(offset, registrationReading.nextOffset ?? 0);
    return { ...state, registrationReading: { ...registrationReading, nextOffset } };
};

/** Applies registration changes in the order of their offsets. */
export const applyRegistrationChanges = (state: ViewState, opts: ApplyRegistrationChangesOptions): AppliedChanges => {
    if (opts.changes.length === 0) {
        return { state: advanceNextOffset(state, opts.nextOffset), applied: [] };
    }
    const servers = new Map(state.servers);
    const retainRemovedUntilMs = state.outageEndedAtMs + VIEW_LIMITS.expiredRetentionMs;
    const applied: RegistrationChange[] = [];
    const propagated: RegistrationChange[] = [];
    for (const change of opts.changes) {
        const result = applyChange(servers, change, { atMs: opts.atMs, retainRemovedUntilMs });
        if (result === "changed") {
            applied.push(change);
        }
        if (result !== "none") {
            propagated.push(change);
        }
    }
    const recent = [...state.recentChanges, ...propagated];
    const dropped = recent.slice(0, Math.max(0, recent.length - MAX_RECENT_CHANGES));
    const lastDropped = dropped.at(-1);
    return {
        applied,
        state: {
            ...advanceNextOffset(state, opts.nextOffset),
            servers,
            recentChanges: recent.slice(dropped.length),
            recentBaseOffset: lastDropped === undefined ? state.recentBaseOffset : lastDropped.offset + 1,
        },
    };
};
