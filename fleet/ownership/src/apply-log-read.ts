import { applyOwnershipRecord } from "./apply-ownership-record.js";
import { decodeOwnershipRecord } from "./decode-ownership-record.js";
import { emptyOwnershipFold } from "./empty-ownership-fold.js";
import { foldSnapshot } from "./fold-snapshot.js";
import type { GuardedShare } from "./guarded-share.js";
import type { LogPosition } from "./log-position.js";
import type { OwnershipEvent } from "./ownership-event.js";
import type { OwnershipFold } from "./ownership-fold.js";
import type { OwnershipState } from "./ownership-state.js";
import { OWNERSHIP_TIMING } from "./ownership-timing.js";
import { refreshShares } from "./refresh-shares.js";
import { termNumbers } from "./term-numbers.js";

type LogRead = Extract<OwnershipEvent, { type: "log-read"; }>;

interface LogProgress {
    readonly log: LogPosition;
    readonly fold: OwnershipFold;
}

/** A response with this many records may be a full page that does not reach the end of the log. */
const PAGE_SIZE = 100;

const applyRecord = (progress: LogProgress, offset: number, value: unknown, atMs: number): LogProgress => {
    const log = { ...progress.log, nextOffset: offset + 1 };
    const record = decodeOwnershipRecord(value);
    if (record === undefined) {
        return { log, fold: { ...progress.fold, malformedRecords: progress.fold.malformedRecords + 1 } };
    }
    if (record.type === "snapshot") {
        const logAfterSnapshot = { ...log, snapshotSeenAtMs: atMs };
        const isUsable = record.throughOffset < offset && record.throughOffset + 1 >= log.firstOffset
            && record.terms.every(({ term }) => termNumbers.eraOf(term) === log.era);
        return log.mode === "following" || !isUsable ? { log: logAfterSnapshot, fold: progress.fold } : {
            log: {
                ...logAfterSnapshot,
                mode: "following",
                nextOffset: record.throughOffset + 1,
                restartNotBeforeMs: undefined,
            },
            fold: foldSnapshot(record.terms, progress.fold),
        };
    }
    if (log.mode === "following") {
        return { log, fold: applyOwnershipRecord(progress.fold, record, offset) };
    }
    const isRestart = record.type === "assign" && record.restartAtOffset === offset
        && termNumbers.eraOf(record.entries[0]?.term ?? 1) === log.era;
    if (isRestart) {
        const emptyFold = { ...progress.fold, termsByShare: emptyOwnershipFold.termsByShare };
        const fold = applyOwnershipRecord(emptyFold, record, offset);
        return fold.termsByShare.some(terms => terms.length > 0)
            ? { log: { ...log, mode: "following", restartNotBeforeMs: undefined }, fold }
            : { log, fold: progress.fold };
    }
    return { log, fold: progress.fold };
};

const markOwnersSeen = (state: OwnershipState, fold: OwnershipFold, atMs: number): OwnershipState => {
    const guarded = new Map<number, GuardedShare>();
    for (const [share, guardedShare] of state.guarded) {
        const before = state.fold.termsByShare[share]?.at(-1);
        const after = fold.termsByShare[share]?.at(-1);
        const isExtended = before?.term === after?.term && (after?.boundMs ?? 0) > (before?.boundMs ?? 0);
        guarded.set(share, isExtended ? { ...guardedShare, ownerSeenAtMs: atMs } : guardedShare);
    }
    return { ...state, guarded };
};

/**
 * Starts to read the log again after it was restored from an older copy. The records that this daemon read since then
 * are gone and their offsets are given out again. Rights from before hold until the caps of the lost records, so no
 * term may start before these have passed; a cap is at most this far ahead of its writer's clock.
 */
const enterEra = (state: OwnershipState, event: LogRead, era: number): OwnershipState => ({
    ...state,
    // They can no longer become valid. What they restrict is kept with the owned and guarded shares.
    pendingAssigns: [],
    log: {
        ...state.log,
        era,
        nextOffset: 0,
        firstOffset: 0,
        mode: "seeking",
        available: true,
        caughtUp: false,
        caughtUpSinceMs: undefined,
        lastReadAtMs: event.atMs,
        restartableAtOffset: undefined,
        restartNotBeforeMs: event.wallMs + Math.min(OWNERSHIP_TIMING.capAheadMs, state.logRetentionMs),
    },
});

/** Folds the records of a log read in offset order, each exactly once and without gaps. */
export const applyLogRead = (state: OwnershipState, event: LogRead): OwnershipState => {
    const { atMs, era = 0 } = event;
    if (era > state.log.era) {
        return enterEra(state, event, era);
    }
    // The end of the log never decreases, so an end below the position of this daemon means a stale response.
    if (era < state.log.era || event.nextOffset < state.log.nextOffset) {
        return state;
    }
    const firstOffset = Math.max(event.firstOffset, state.log.firstOffset);
    let progress: LogProgress = { log: { ...state.log, firstOffset }, fold: state.fold };
    if (firstOffset > progress.log.nextOffset) {
        progress = { ...progress, log: { ...progress.log, mode: "seeking", nextOffset: firstOffset } };
    }
    for (const { offset, value } of event.records) {
        if (offset === progress.log.nextOffset) {
            progress = applyRecord(progress, offset, value, atMs);
        }
    }
    const caughtUp = progress.log.nextOffset === event.nextOffset && event.records.length < PAGE_SIZE;
    const isEmpty = caughtUp && firstOffset === event.nextOffset && event.records.length === 0;
    const { mode, restartNotBeforeMs } = progress.log;
    const isRestartable = mode === "seeking" && caughtUp
        && (restartNotBeforeMs === undefined ? isEmpty && firstOffset > 0 : event.wallMs >= restartNotBeforeMs);
    const log: LogPosition = {
        ...progress.log,
        available: true,
        caughtUp,
        lastReadAtMs: atMs,
        caughtUpSinceMs: caughtUp ? progress.log.caughtUpSinceMs ?? atMs : undefined,
        restartableAtOffset: isRestartable ? event.nextOffset : undefined,
        snapshotSeenAtMs: state.log.lastReadAtMs === undefined ? atMs : progress.log.snapshotSeenAtMs,
    };
    return progress.fold === state.fold
        ? { ...state, log }
        : refreshShares({ ...markOwnersSeen(state, progress.fold, atMs), log, fold: progress.fold }, atMs);
};
