import { applyRegistrationChanges } from "./apply-registration-changes.js";
import type { RegistrationChange } from "./registration-change.js";
import type { ViewState } from "./view-state.js";

interface ApplyRegistrationListOptions {
    readonly atMs: number;
    readonly registrations: readonly RegistrationChange[];
    readonly nextOffset: number;
}

/** Applies a complete list of registrations and removes the servers that it does not contain. */
export const applyRegistrationList = (
    state: ViewState,
    opts: ApplyRegistrationListOptions,
): ReturnType<typeof applyRegistrationChanges> => {
    const listed = new Set(opts.registrations.map(registration => registration.instanceId));
    const removals = [...state.servers.values()]
        .filter(known =>
            !listed.has(known.server.instanceId) && known.retainedUntilMs === undefined
            && known.offset < opts.nextOffset
        )
        .map(known => ({
            offset: opts.nextOffset - 1,
            instanceId: known.server.instanceId,
            server: undefined,
        }));
    const result = applyRegistrationChanges(state, {
        atMs: opts.atMs,
        changes: [...opts.registrations, ...removals],
        nextOffset: opts.nextOffset,
    });
    // The individual changes that led to this list are unknown, so peers with an older view need the complete list too.
    return { ...result, state: { ...result.state, recentChanges: [], recentBaseOffset: opts.nextOffset } };
};
