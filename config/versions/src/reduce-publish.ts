import { MarigoldstallError } from "@marigoldstall/core.error";
import type { AcceptedConfiguration, Transition } from "@marigoldstall/core.types";
import type { AppendResult } from "@marigoldstall/platform.log-client";
import { EMPTY_FOLD } from "./empty-fold.js";
import { foldRead } from "./fold-read.js";
import type { PublishEffect } from "./publish-effect.js";
import type { PublishEvent } from "./publish-event.js";
import { publishId } from "./publish-id.js";
import type { PublishOutcome } from "./publish-outcome.js";
import type { PublishRecord } from "./publish-record.js";
import type { PublishState } from "./publish-state.js";
import type { StreamRead } from "./stream-read.js";
import { versionNumbers } from "./version-numbers.js";

type PublishTransition = Transition<PublishState, PublishEffect>;

const MAX_APPENDS = 3;
// Limits reads that fail or make no progress; with the retry delays, they span about 8 s.
const MAX_FAILURES = 5;
const RETRY_DELAY_MS = 250;

const createRestoredError = (): MarigoldstallError =>
    new MarigoldstallError({
        code: "PUBLISH_FAILED",
        message: "the log was restored from an older copy since this record was created",
        step: "publish targets",
        hint: "compare the configuration in force with yours, and publish again",
    });

const finish = (state: PublishState, outcome: PublishOutcome): PublishTransition => ({
    state,
    effects: [{ type: "finish", outcome }],
});

const continueReading = (state: PublishState, delayMs = 0): PublishTransition => ({
    state,
    effects: [{ type: "read-log", from: state.fold.nextOffset, delayMs }],
});

const append = (state: PublishState, record: PublishRecord): PublishTransition => ({
    state: { ...state, record, appendCount: state.appendCount + 1 },
    effects: [{
        type: "append-record",
        value: record,
        delayMs: state.appendCount === 0 ? 0 : RETRY_DELAY_MS * 2 ** state.appendCount,
    }],
});

const giveUp = (state: PublishState, supersededBy?: AcceptedConfiguration): PublishTransition => {
    const { record, lastError } = state;
    if (record !== undefined && state.mayBeWritten) {
        const outcome = { type: "unknown", publishId: record.publishId, error: lastError, supersededBy } as const;
        return finish(state, outcome);
    }
    const error = lastError ?? new MarigoldstallError({
        code: "PUBLISH_FAILED",
        message: "the log returned no usable response",
        step: "publish targets",
        hint: "try again",
    });
    return finish(state, { type: "failed", error });
};

/** Retries a read that failed or made no progress, with exponential backoff. */
const retryRead = (state: PublishState): PublishTransition => {
    const next = { ...state, failureCount: state.failureCount + 1 };
    return next.failureCount >= MAX_FAILURES
        ? giveUp(next)
        : continueReading(next, RETRY_DELAY_MS * 2 ** state.failureCount);
};

const createRecord = (state: PublishState): PublishRecord => {
    const { author, targets, uniqueId } = state.opts;
    const { accepted, isComplete, nextOffset } = state.fold;
    const parentVersion = isComplete ? accepted?.version ?? 0 : 0;
    const era = state.era ?? 0;
    const version = isComplete
        ? versionNumbers.next({ era, newest: parentVersion })
        : versionNumbers.ofRestart({ era, offset: nextOffset });
    const record = {
        publishId: publishId.format({ version, isRestart: !isComplete, uniqueId }),
        version,
        parentVersion,
        author,
        targets,
    };
    return isComplete ? record : { ...record, restartAtOffset: nextOffset };
};

const startPublish = (state: PublishState): PublishTransition => {
    const { accepted, isComplete } = state.fold;
    const { ifVersion, isDryRun } = state.opts;
    const isVersionMismatch = ifVersion !== undefined && (!isComplete || ifVersion !== (accepted?.version ?? 0));
    if (isVersionMismatch) {
        return finish(state, { type: "conflict", winner: accepted, publishId: undefined });
    }
    const record = createRecord(state);
    return isDryRun === true
        ? finish(state, { type: "planned", record, parent: accepted })
        : append(state, record);
};

/** Whether the record can no longer become valid, because its version or its restart offset is taken. */
const isObsolete = (state: PublishState, record: PublishRecord): boolean =>
    record.restartAtOffset === undefined
        ? (state.fold.accepted?.version ?? 0) >= record.version
        : state.fold.nextOffset > record.restartAtOffset;

const decideNextStep = (state: PublishState, record: PublishRecord): PublishTransition => {
    const { fold, winner, appendedAtOffset } = state;
    if (state.published !== undefined) {
        const newest = fold.accepted ?? state.published;
        return finish(state, { type: "accepted", configuration: state.published, newest });
    }
    if (appendedAtOffset !== undefined && fold.nextOffset <= appendedAtOffset) {
        return retryRead(state);
    }
    if (isObsolete(state, record)) {
        // If the record that took the version was not read, the removed part of the log may have contained this one.
        const isDecided = winner !== undefined || state.isRestartOffsetTaken;
        return isDecided
            ? finish(state, { type: "conflict", winner: winner ?? fold.accepted, publishId: record.publishId })
            : giveUp(state, fold.accepted);
    }
    if (!fold.isComplete && record.restartAtOffset === undefined || state.appendCount >= MAX_APPENDS) {
        return giveUp(state);
    }
    return append({ ...state, appendedAtOffset: undefined }, record);
};

const recordAccepted = (state: PublishState, accepted: AcceptedConfiguration): PublishState => {
    const { record } = state;
    if (record === undefined) {
        return state;
    }
    if (accepted.publishId === record.publishId) {
        return { ...state, published: accepted };
    }
    const isWinner = accepted.version === record.version;
    return isWinner ? { ...state, winner: state.winner ?? accepted } : state;
};

/**
 * Starts to read the log again, at the first read or after a restore. A record of a former era is not appended again:
 * its version could be one that the restore has lost, so that daemons would have two configurations of one version.
 */
const enterEra = (state: PublishState, era: number): PublishTransition => {
    const isOutdated = state.record !== undefined && versionNumbers.eraOf(state.record.version) < era;
    const next: PublishState = {
        ...state,
        era,
        fold: EMPTY_FOLD,
        published: undefined,
        winner: undefined,
        isRestartOffsetTaken: false,
        appendedAtOffset: undefined,
    };
    return continueReading(
        isOutdated ? { ...next, appendCount: MAX_APPENDS, lastError: createRestoredError() } : next,
    );
};

const foldStreamRead = (state: PublishState, read: StreamRead): PublishTransition => {
    const result = foldRead(state.fold, read);
    const accepted = result.outcomes.flatMap(outcome =>
        outcome.type === "accepted" || outcome.type === "snapshot-adopted" ? [outcome.configuration] : []
    );
    const hasProgress = result.fold.nextOffset !== state.fold.nextOffset || result.isCaughtUp;
    const restartAtOffset = state.record?.restartAtOffset;
    const isRestartOffsetTaken = state.isRestartOffsetTaken
        || result.outcomes.some(outcome => outcome.offset === restartAtOffset);
    const next = accepted.reduce(recordAccepted, { ...state, fold: result.fold, isRestartOffsetTaken });
    if (!hasProgress) {
        return retryRead(next);
    }
    if (!result.isCaughtUp) {
        return continueReading(next);
    }
    return next.record === undefined ? startPublish(next) : decideNextStep(next, next.record);
};

const reduceRead = (state: PublishState, read: StreamRead): PublishTransition => {
    const era = read.era ?? 0;
    if (state.era !== undefined && era < state.era) {
        return retryRead(state);
    }
    if (era > (state.era ?? 0)) {
        return enterEra(state, era);
    }
    return foldStreamRead({ ...state, era }, read);
};

const reduceAppend = (state: PublishState, result: AppendResult): PublishTransition => {
    switch (result.type) {
        case "appended":
            return continueReading({ ...state, appendedAtOffset: result.offset, mayBeWritten: true, failureCount: 0 });
        case "unknown":
            return continueReading(
                { ...state, mayBeWritten: true, failureCount: 0, lastError: result.error },
                RETRY_DELAY_MS,
            );
        case "refused": {
            const next = { ...state, lastError: result.error };
            if (state.record === undefined || state.appendCount >= MAX_APPENDS) {
                return next.mayBeWritten ? continueReading(next) : giveUp(next);
            }
            return append(next, state.record);
        }
    }
};

/** Reducer of publishing. It appends the same record again until the log shows whether it was accepted. */
export const reducePublish = (state: PublishState, event: PublishEvent): PublishTransition => {
    switch (event.type) {
        case "log-read":
            return reduceRead(state, event.read);
        case "log-failed":
            return retryRead({ ...state, lastError: event.error });
        case "append-finished":
            return reduceAppend(state, event.result);
    }
};
