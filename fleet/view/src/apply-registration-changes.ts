import type { RegistrationChange } from "./registration-change.js";
import { selectLaterPosition } from "./select-later-position.js";
import { ServersDraft } from "./servers-draft.js";
import { VIEW_LIMITS } from "./view-limits.js";
import type { ViewState } from "./view-state.js";

const MAX_RECENT_CHANGES = 48;

interface ApplyRegistrationChangesOptions {
    readonly atMs: number;
    readonly era: number;
    readonly changes: readonly RegistrationChange[];
    readonly nextOffset: number;
    /** Until when a server stays in use after its registration expired. Depends on the last outage if not given. */
    readonly retainRemovedUntilMs?: number;
}

interface AppliedChanges {
    readonly state: ViewState;
    /** The changes that affect the set of servers or a property of a server. */
    readonly applied: readonly RegistrationChange[];
}

const advance = (state: ViewState, opts: ApplyRegistrationChangesOptions): ViewState => {
    const { registrationReading } = state;
    const next = selectLaterPosition({ era: opts.era, offset: opts.nextOffset }, registrationReading.next);
    return { ...state, registrationReading: { ...registrationReading, next } };
};

/** Applies registration changes of one era in the order of their offsets. */
export const applyRegistrationChanges = (state: ViewState, opts: ApplyRegistrationChangesOptions): AppliedChanges => {
    if (opts.changes.length === 0) {
        return { state: advance(state, opts), applied: [] };
    }
    const { atMs, era } = opts;
    const { retainRemovedUntilMs = state.outageEndedAtMs + VIEW_LIMITS.expiredRetentionMs } = opts;
    const draft = new ServersDraft(state, { atMs, era, retainRemovedUntilMs });
    const applied: RegistrationChange[] = [];
    const propagated: RegistrationChange[] = [];
    for (const change of opts.changes) {
        const result = draft.apply(change);
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
            ...advance(state, opts),
            ...draft.finish(),
            recentChanges: recent.slice(dropped.length),
            recentBase: lastDropped === undefined ? state.recentBase : { era, offset: lastDropped.offset + 1 },
        },
    };
};
