import { digestTargets } from "@marigoldstall/config.targets";
import type { AcceptedConfiguration, Decision, Transition } from "@marigoldstall/core.types";
import type { ConfigurationEffect } from "./configuration-effect.js";
import type { ConfigurationEvent } from "./configuration-event.js";
import type { ConfigurationState } from "./configuration-state.js";
import { foldRead } from "./fold-read.js";
import type { FoldVerdict } from "./fold-verdict.js";

type ConfigurationTransition = Transition<ConfigurationState, ConfigurationEffect>;
type EventOf<Type extends ConfigurationEvent["type"]> = Extract<ConfigurationEvent, { readonly type: Type; }>;

// Longer than a call to a peer may take, so that an answer is not asked for twice.
const FETCH_TIMEOUT_MS = 3000;
// A longer gap between two ticks is a pause, after which the version is in doubt (design, section 5).
const PAUSE_MS = 5000;
// The daemon with the lowest VM id writes a snapshot each quarter of the retention time. The others step in at half
// of it, when that daemon lacks records itself.
const WRITER_SHARE = 1 / 4;
const SUBSTITUTE_SHARE = 1 / 2;
const RETRY_SHARE = 1 / 16;

const describe = (reason: string, opts: Partial<Decision> = {}): ConfigurationEffect => ({
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

const describeVerdict = (verdict: FoldVerdict): readonly ConfigurationEffect[] => {
    switch (verdict.type) {
        case "accepted":
            return [describe(`accepted at offset ${verdict.offset}`, {
                choice: `version ${verdict.configuration.version}`,
            })];
        case "snapshot-adopted":
            return [describe(`adopted the snapshot at offset ${verdict.offset}`, {
                choice: `version ${verdict.configuration.version}`,
            })];
        case "rejected":
            return [describe(`rejected the record at offset ${verdict.offset}: ${verdict.reason}`)];
        case "malformed":
            return [describe(`ignored the malformed record at offset ${verdict.offset}: ${verdict.reason}`)];
        case "undecided":
            return [describe(`cannot judge the record at offset ${verdict.offset}: earlier records are missing`)];
        case "snapshot-seen":
            return verdict.isConsistent
                ? []
                : [describe(`the snapshot at offset ${verdict.offset} contradicts the records`)];
    }
};

const applyIfNewer = (before: ConfigurationState, after: ConfigurationState): readonly ConfigurationEffect[] => {
    const configuration = after.fold.accepted;
    const isNewer = configuration !== undefined && configuration.version > (before.fold.accepted?.version ?? 0);
    return isNewer ? [{ type: "apply-configuration", configuration }] : [];
};

const reduceLogRead = (state: ConfigurationState, event: EventOf<"log-read">): ConfigurationTransition => {
    const result = foldRead(state.fold, event);
    const hasSnapshot = result.verdicts.some(verdict => verdict.type === "snapshot-seen" && verdict.isConsistent);
    const isFresh = state.isCaughtUp && hasSnapshot;
    const confirms = result.isCaughtUp && result.fold.isComplete && event.startedAtMs >= state.inDoubtSinceMs;
    const next: ConfigurationState = {
        ...state,
        fold: result.fold,
        isCaughtUp: result.isCaughtUp,
        caughtUpAtMs: result.isCaughtUp ? event.atMs : state.caughtUpAtMs,
        firstCaughtUpAtMs: state.firstCaughtUpAtMs ?? (result.isCaughtUp ? event.atMs : undefined),
        logUnavailableSinceMs: undefined,
        confirmedAtMs: confirms ? event.atMs : state.confirmedAtMs,
        snapshotSeenAtMs: isFresh ? event.atMs : state.snapshotSeenAtMs,
    };
    const gap = result.hasGap
        ? [describe(
            `the log starts at offset ${event.firstOffset}, above the next one to read; waiting for a snapshot`,
        )]
        : [];
    return {
        state: next,
        effects: [...gap, ...result.verdicts.flatMap(describeVerdict), ...applyIfNewer(state, next)],
    };
};

const reducePeerVersion = (
    state: ConfigurationState,
    event: EventOf<"peer-version-heard">,
): ConfigurationTransition => {
    const version = state.fold.accepted?.version ?? 0;
    if (event.version <= version) {
        const confirms = event.version === version && version > 0;
        return { state: confirms ? { ...state, confirmedAtMs: event.atMs } : state, effects: [] };
    }
    if (state.fetch !== undefined && event.atMs - state.fetch.startedAtMs < FETCH_TIMEOUT_MS) {
        return { state, effects: [] };
    }
    return {
        state: { ...state, fetch: { peerAddress: event.peerAddress, startedAtMs: event.atMs } },
        effects: [{ type: "fetch-configuration", peerAddress: event.peerAddress }],
    };
};

const findFetchFault = (state: ConfigurationState, configuration: AcceptedConfiguration): string | undefined => {
    if (digestTargets(configuration.targets) !== configuration.digest) {
        return "its digest does not match its targets";
    }
    const isContradiction = state.fold.isComplete && configuration.offset < state.fold.nextOffset;
    return isContradiction ? "the records read so far do not hold it" : undefined;
};

const reduceFetched = (
    before: ConfigurationState,
    event: EventOf<"configuration-fetched">,
): ConfigurationTransition => {
    const state = before.fetch?.peerAddress === event.peerAddress ? { ...before, fetch: undefined } : before;
    const { configuration } = event;
    if (configuration === undefined || configuration.version <= (state.fold.accepted?.version ?? 0)) {
        return { state, effects: [] };
    }
    const fault = findFetchFault(state, configuration);
    if (fault !== undefined) {
        return {
            state,
            effects: [describe(`refused version ${configuration.version} of ${event.peerAddress}: ${fault}`)],
        };
    }
    // At its own offset the version is the newest valid one, so reading continues there. Removed records show as a gap.
    const next: ConfigurationState = {
        ...state,
        fold: { accepted: configuration, nextOffset: configuration.offset + 1, isComplete: true },
        isCaughtUp: false,
        confirmedAtMs: event.atMs,
    };
    const reason = describe(`fetched from ${event.peerAddress}`, { choice: `version ${configuration.version}` });
    return { state: next, effects: [reason, ...applyIfNewer(state, next)] };
};

const isSnapshotDue = (state: ConfigurationState, event: EventOf<"tick">): boolean => {
    const { fold, isCaughtUp, logUnavailableSinceMs, snapshotSeenAtMs, snapshotRequestedAtMs } = state;
    if (!fold.isComplete || fold.accepted === undefined || !isCaughtUp || logUnavailableSinceMs !== undefined) {
        return false;
    }
    const retryMs = event.retentionMs * RETRY_SHARE;
    if (snapshotRequestedAtMs !== undefined && event.atMs - snapshotRequestedAtMs < retryMs) {
        return false;
    }
    if (event.writesSnapshots) {
        // A daemon that has just started cannot tell the age of the snapshots it has read, and writes one of its own.
        return snapshotSeenAtMs === undefined || event.atMs - snapshotSeenAtMs >= event.retentionMs * WRITER_SHARE;
    }
    const sinceMs = snapshotSeenAtMs ?? state.firstCaughtUpAtMs ?? event.atMs;
    return event.atMs - sinceMs >= event.retentionMs * SUBSTITUTE_SHARE;
};

const reduceTick = (state: ConfigurationState, event: EventOf<"tick">): ConfigurationTransition => {
    const { lastTick, fold } = state;
    const gapMs = lastTick === undefined ? 0 : Math.max(event.atMs - lastTick.atMs, event.wallMs - lastTick.wallMs);
    const isPaused = gapMs > PAUSE_MS;
    const isDue = !isPaused && isSnapshotDue(state, event);
    const next: ConfigurationState = {
        ...state,
        lastTick: { atMs: event.atMs, wallMs: event.wallMs },
        confirmedAtMs: isPaused ? undefined : state.confirmedAtMs,
        inDoubtSinceMs: isPaused ? event.atMs : state.inDoubtSinceMs,
        snapshotRequestedAtMs: isDue ? event.atMs : state.snapshotRequestedAtMs,
    };
    const effects: ConfigurationEffect[] = [];
    if (isPaused) {
        effects.push(describe(`no timer ran for ${Math.round(gapMs)} ms; the version has to be confirmed`));
        effects.push({ type: "confirm-configuration" });
    }
    if (isDue) {
        const snapshot = { throughOffset: fold.nextOffset - 1, state: fold.accepted };
        effects.push({ type: "append-configuration-snapshot", value: { snapshot } });
    }
    return { state: next, effects };
};

/** Reducer of the configuration slice. The version in force never goes down. */
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
