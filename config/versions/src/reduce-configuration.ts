import { digestTargets } from "@marigoldstall/config.targets";
import type { AcceptedConfiguration, Decision, Transition } from "@marigoldstall/core.types";
import type { ConfigurationEffect } from "./configuration-effect.js";
import type { ConfigurationEvent } from "./configuration-event.js";
import type { ConfigurationState } from "./configuration-state.js";
import { EMPTY_FOLD } from "./empty-fold.js";
import type { FoldOutcome } from "./fold-outcome.js";
import { foldRead } from "./fold-read.js";
import { selectConfiguration } from "./select-configuration.js";
import { versionNumbers } from "./version-numbers.js";

type ConfigurationTransition = Transition<ConfigurationState, ConfigurationEffect>;
type EventOf<Type extends ConfigurationEvent["type"]> = Extract<ConfigurationEvent, { readonly type: Type; }>;

// Longer than the timeout of a call to a peer, so that a pending fetch is not repeated.
const FETCH_TIMEOUT_MS = 3000;
// A longer gap between two ticks is a pause, after which the version has to be confirmed (design, section 5).
const PAUSE_THRESHOLD_MS = 5000;
// The daemon with the lowest VM id writes a snapshot each quarter of the retention time. The others take over at half
// of it, in case that daemon lacks records itself.
const WRITER_RETENTION_FRACTION = 1 / 4;
const FALLBACK_RETENTION_FRACTION = 1 / 2;
const RETRY_RETENTION_FRACTION = 1 / 16;

const logDecision = (reason: string, opts: Partial<Decision> = {}): ConfigurationEffect => ({
    type: "log-decision",
    decision: {
        kind: "configuration",
        requestId: undefined,
        service: undefined,
        className: undefined,
        candidates: [],
        choice: undefined,
        reason,
        ...opts,
    },
});

const logOutcome = (outcome: FoldOutcome): readonly ConfigurationEffect[] => {
    switch (outcome.type) {
        case "accepted":
            return [logDecision(`accepted at offset ${outcome.offset}`, {
                choice: `version ${outcome.configuration.version}`,
            })];
        case "snapshot-adopted":
            return [logDecision(`adopted the snapshot at offset ${outcome.offset}`, {
                choice: `version ${outcome.configuration.version}`,
            })];
        case "rejected":
            return [logDecision(`rejected the record at offset ${outcome.offset}: ${outcome.reason}`)];
        case "malformed":
            return [logDecision(`ignored the malformed record at offset ${outcome.offset}: ${outcome.reason}`)];
        case "undecided":
            return [logDecision(`cannot validate the record at offset ${outcome.offset}: earlier records are missing`)];
        case "snapshot-seen":
            return outcome.isConsistent
                ? []
                : [logDecision(`the snapshot at offset ${outcome.offset} contradicts the records`)];
    }
};

const applyIfChanged = (before: ConfigurationState, after: ConfigurationState): readonly ConfigurationEffect[] => {
    const configuration = selectConfiguration(after);
    const former = selectConfiguration(before);
    const isNewer = configuration !== undefined && configuration.version > (former?.version ?? 0);
    // A version that a restore of the log lost may be taken by a record that was under way then.
    const isReplaced = configuration?.version === former?.version && configuration?.publishId !== former?.publishId;
    return configuration !== undefined && (isNewer || isReplaced)
        ? [{ type: "apply-configuration", configuration }]
        : [];
};

/** Starts to read the log again after a restore, as offsets that were read are given out again. */
const enterEra = (state: ConfigurationState, era: number): ConfigurationTransition => ({
    state: { ...state, era, retained: selectConfiguration(state), fold: EMPTY_FOLD, isCaughtUp: false },
    effects: [logDecision(`the log was restored from an older copy (era ${era}); reading it again`)],
});

const reduceLogRead = (state: ConfigurationState, event: EventOf<"log-read">): ConfigurationTransition => {
    const { era = 0 } = event;
    if (era !== state.era) {
        // A response of a lower era was delayed.
        return era < state.era ? { state, effects: [] } : enterEra(state, era);
    }
    const result = foldRead(state.fold, event);
    const hasSnapshot = result.outcomes.some(outcome => outcome.type === "snapshot-seen" && outcome.isConsistent);
    const isNewSnapshot = state.isCaughtUp && hasSnapshot;
    const isConfirmed = result.isCaughtUp && result.fold.isComplete && event.startedAtMs >= state.confirmationCutoffMs;
    const next: ConfigurationState = {
        ...state,
        fold: result.fold,
        isCaughtUp: result.isCaughtUp,
        caughtUpAtMs: result.isCaughtUp ? event.atMs : state.caughtUpAtMs,
        firstCaughtUpAtMs: state.firstCaughtUpAtMs ?? (result.isCaughtUp ? event.atMs : undefined),
        logUnavailableSinceMs: undefined,
        confirmedAtMs: isConfirmed ? event.atMs : state.confirmedAtMs,
        snapshotSeenAtMs: isNewSnapshot ? event.atMs : state.snapshotSeenAtMs,
    };
    const gapDecisions = result.hasGap
        ? [logDecision(
            `the log starts at offset ${event.firstOffset}, above the next offset to read; waiting for a snapshot`,
        )]
        : [];
    return {
        state: next,
        effects: [...gapDecisions, ...result.outcomes.flatMap(logOutcome), ...applyIfChanged(state, next)],
    };
};

const reducePeerVersion = (
    state: ConfigurationState,
    event: EventOf<"peer-version-heard">,
): ConfigurationTransition => {
    const version = selectConfiguration(state)?.version ?? 0;
    if (event.version <= version) {
        const isConfirmed = event.version === version && version > 0;
        return { state: isConfirmed ? { ...state, confirmedAtMs: event.atMs } : state, effects: [] };
    }
    if (state.pendingFetch !== undefined && event.atMs - state.pendingFetch.startedAtMs < FETCH_TIMEOUT_MS) {
        return { state, effects: [] };
    }
    return {
        state: { ...state, pendingFetch: { peerAddress: event.peerAddress, startedAtMs: event.atMs } },
        effects: [{ type: "fetch-configuration", peerAddress: event.peerAddress }],
    };
};

// Its offset says nothing about the records of this era.
const isOfFormerEra = (state: ConfigurationState, { version }: AcceptedConfiguration): boolean =>
    versionNumbers.eraOf(version) < state.era;

const findFetchRejectionReason = (
    state: ConfigurationState,
    configuration: AcceptedConfiguration,
): string | undefined => {
    if (digestTargets(configuration.targets) !== configuration.digest) {
        return "its digest does not match its targets";
    }
    const contradictsRecords = !isOfFormerEra(state, configuration) && state.fold.isComplete
        && configuration.offset < state.fold.nextOffset;
    return contradictsRecords ? "it contradicts the records read so far" : undefined;
};

const reduceFetched = (
    before: ConfigurationState,
    event: EventOf<"configuration-fetched">,
): ConfigurationTransition => {
    const state = before.pendingFetch?.peerAddress === event.peerAddress
        ? { ...before, pendingFetch: undefined }
        : before;
    const { configuration } = event;
    if (configuration === undefined || configuration.version <= (selectConfiguration(state)?.version ?? 0)) {
        return { state, effects: [] };
    }
    const rejectionReason = findFetchRejectionReason(state, configuration);
    if (rejectionReason !== undefined) {
        return {
            state,
            effects: [
                logDecision(
                    `rejected version ${configuration.version} fetched from ${event.peerAddress}: ${rejectionReason}`,
                ),
            ],
        };
    }
    // The version is the newest valid one at its own offset, so reading continues after it. Records that retention has
    // removed show as a gap.
    const fold = { accepted: configuration, nextOffset: configuration.offset + 1, isComplete: true };
    const next: ConfigurationState = {
        ...state,
        ...isOfFormerEra(state, configuration) ? { retained: configuration } : { fold, isCaughtUp: false },
        confirmedAtMs: event.atMs,
    };
    const decision = logDecision(`fetched from ${event.peerAddress}`, { choice: `version ${configuration.version}` });
    return { state: next, effects: [decision, ...applyIfChanged(state, next)] };
};

const isSnapshotDue = (state: ConfigurationState, event: EventOf<"tick">): boolean => {
    const { fold, isCaughtUp, logUnavailableSinceMs, snapshotSeenAtMs, snapshotRequestedAtMs } = state;
    if (!fold.isComplete || fold.accepted === undefined || !isCaughtUp || logUnavailableSinceMs !== undefined) {
        return false;
    }
    const retryMs = event.retentionMs * RETRY_RETENTION_FRACTION;
    if (snapshotRequestedAtMs !== undefined && event.atMs - snapshotRequestedAtMs < retryMs) {
        return false;
    }
    if (event.writesSnapshots) {
        // A daemon that has just started does not know the age of the snapshots in the log, so it writes one itself.
        return snapshotSeenAtMs === undefined
            || event.atMs - snapshotSeenAtMs >= event.retentionMs * WRITER_RETENTION_FRACTION;
    }
    const sinceMs = snapshotSeenAtMs ?? state.firstCaughtUpAtMs ?? event.atMs;
    return event.atMs - sinceMs >= event.retentionMs * FALLBACK_RETENTION_FRACTION;
};

const reduceTick = (state: ConfigurationState, event: EventOf<"tick">): ConfigurationTransition => {
    const { lastTick, fold } = state;
    const gapMs = lastTick === undefined ? 0 : Math.max(event.atMs - lastTick.atMs, event.wallMs - lastTick.wallMs);
    const isPaused = gapMs > PAUSE_THRESHOLD_MS;
    const isDue = !isPaused && isSnapshotDue(state, event);
    const next: ConfigurationState = {
        ...state,
        lastTick: { atMs: event.atMs, wallMs: event.wallMs },
        confirmedAtMs: isPaused ? undefined : state.confirmedAtMs,
        confirmationCutoffMs: isPaused ? event.atMs : state.confirmationCutoffMs,
        snapshotRequestedAtMs: isDue ? event.atMs : state.snapshotRequestedAtMs,
    };
    const effects: ConfigurationEffect[] = [];
    if (isPaused) {
        effects.push(logDecision(`no timer ran for ${Math.round(gapMs)} ms; the version has to be confirmed`));
        effects.push({ type: "confirm-configuration" });
    }
    if (isDue) {
        const snapshot = { throughOffset: fold.nextOffset - 1, state: fold.accepted };
        effects.push({ type: "append-configuration-snapshot", value: { snapshot } });
    }
    return { state: next, effects };
};

/** Reducer of the configuration slice. The active version never decreases. */
export const reduceConfiguration = (state: ConfigurationState, event: ConfigurationEvent): ConfigurationTransition => {
    switch (event.type) {
        case "log-read":
            return reduceLogRead(state, event);
        case "log-unavailable":
            return {
                state: {
                    ...state,
                    isCaughtUp: false,
                    logUnavailableSinceMs: state.logUnavailableSinceMs ?? event.atMs,
                },
                effects: [],
            };
        case "peer-version-heard":
            return reducePeerVersion(state, event);
        case "configuration-fetched":
            return reduceFetched(state, event);
        case "tick":
            return reduceTick(state, event);
    }
};
