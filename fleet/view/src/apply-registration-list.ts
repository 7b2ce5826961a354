import { applyRegistrationChanges } from "./apply-registration-changes.js";
import type { RegistrationChange } from "./registration-change.js";
import { ServersDraft } from "./servers-draft.js";
import { UNKNOWN_ERA } from "./unknown-era.js";
import { VIEW_LIMITS } from "./view-limits.js";
import type { ViewSnapshot } from "./view-snapshot.js";
import type { ViewState } from "./view-state.js";

interface ApplyRegistrationListOptions {
    readonly atMs: number;
    readonly era: number;
    readonly registrations: readonly RegistrationChange[];
    /** Registrations that the peer that sent the list withholds. */
    readonly withheld?: ViewSnapshot["withheld"];
    /** Servers that the peer has seen leave. */
    readonly departed?: ViewSnapshot["departed"];
    readonly nextOffset: number;
    /** End of the first list of the era that the peer knows of. */
    readonly eraStartOffset?: number | undefined;
}

// The list of a restored copy may contain servers that have left, and lacks servers that will register again.
const withholdOutdated = (
    state: ViewState,
    opts: ApplyRegistrationListOptions,
): {
    readonly state: ViewState;
    readonly current: readonly RegistrationChange[];
    readonly removed: readonly RegistrationChange[];
    readonly retainRemovedUntilMs: number;
} => {
    const { atMs, era, withheld = [], departed = [], eraStartOffset = opts.nextOffset } = opts;
    const { listedEra = UNKNOWN_ERA } = state;
    const isFirstOfEra = listedEra !== UNKNOWN_ERA && listedEra !== era;
    // Servers that this list lacks register again. One that is removed later has left: the restored store removes no
    // registration for three heartbeats.
    const retainRemovedUntilMs = (isFirstOfEra ? atMs : state.outageEndedAtMs) + VIEW_LIMITS.expiredRetentionMs;
    const draft = new ServersDraft(state, { atMs, era, retainRemovedUntilMs });
    const untilMs = atMs + state.heartbeatMs * VIEW_LIMITS.withheldHeartbeats;
    const current: RegistrationChange[] = [];
    const replaced: RegistrationChange[] = [];
    for (const registration of opts.registrations) {
        const isFromCopy = isFirstOfEra && registration.offset < eraStartOffset;
        const result = isFromCopy ? draft.withhold(registration, untilMs) : undefined;
        if (result === undefined) {
            current.push(registration);
        }
        else if (result === "changed") {
            replaced.push(registration);
        }
    }
    const removedIds = [
        ...replaced,
        ...withheld.filter(({ remainingMs, ...registration }) =>
            draft.adoptWithheld(registration, atMs + remainingMs) === "changed"
        ),
        ...departed.filter(({ instanceId, ageMs, ...process }) =>
            draft.adoptDeparted(instanceId, { ...process, removedAtMs: atMs - ageMs }) === "changed"
        ),
    ].map(({ instanceId }) => instanceId);
    const removed = removedIds.map(instanceId => ({ offset: opts.nextOffset - 1, instanceId, server: undefined }));
    const listed = listedEra === era ? {} : { listedEra: era, eraStartOffset };
    return { state: { ...state, ...draft.finish(), ...listed }, current, removed, retainRemovedUntilMs };
};

const createRemovals = (state: ViewState, opts: ApplyRegistrationListOptions): readonly RegistrationChange[] => {
    const { era, nextOffset, withheld = [] } = opts;
    const listed = new Set([...opts.registrations, ...withheld].map(registration => registration.instanceId));
    const expected = [...state.servers.values()].filter(({ position, retainedUntilMs }) =>
        position.era < era || (retainedUntilMs === undefined && position.offset < nextOffset)
    );
    return [...expected, ...state.withheld.values()]
        .filter(({ server }) => !listed.has(server.instanceId))
        .map(({ server }) => ({ offset: nextOffset - 1, instanceId: server.instanceId, server: undefined }));
};

/** Applies a complete list of registrations and removes the servers that it does not contain. */
export const applyRegistrationList = (
    before: ViewState,
    opts: ApplyRegistrationListOptions,
): ReturnType<typeof applyRegistrationChanges> => {
    const { atMs, era, nextOffset } = opts;
    const { state, current, removed, retainRemovedUntilMs } = withholdOutdated(before, opts);
    const changes = [...current, ...createRemovals(state, opts)];
    const result = applyRegistrationChanges(state, { atMs, era, changes, nextOffset, retainRemovedUntilMs });
    // The individual changes that led to this list are unknown, so peers with an older view need the complete list too.
    return {
        applied: [...removed, ...result.applied],
        state: { ...result.state, recentChanges: [], recentBase: { era, offset: nextOffset } },
    };
};
