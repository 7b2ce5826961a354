import { applyChanges } from "./apply-changes.js";
import type { RegistrationChange } from "./registration-change.js";
import type { ViewState } from "./view-state.js";

interface ApplyListOptions {
    readonly atMs: number;
    readonly registrations: readonly RegistrationChange[];
    readonly nextOffset: number;
}

/** Takes over a whole list of registrations: a server that it does not name is gone. */
export const applyList = (state: ViewState, opts: ApplyListOptions): ReturnType<typeof applyChanges> => {
    const listed = new Set(opts.registrations.map(registration => registration.instanceId));
    const removals = [...state.servers.values()]
        .filter(known =>
            !listed.has(known.server.instanceId) && known.heldUntilMs === undefined
            && known.offset < opts.nextOffset
        )
        .map(known => ({
            offset: opts.nextOffset - 1,
            instanceId: known.server.instanceId,
            server: undefined,
        }));
    const result = applyChanges(state, {
        atMs: opts.atMs,
        changes: [...opts.registrations, ...removals],
        nextOffset: opts.nextOffset,
    });
    // The changes that led to this list are not known one by one, so peers behind it need the whole list too.
    return { ...result, state: { ...result.state, recentChanges: [], recentBaseOffset: opts.nextOffset } };
};
