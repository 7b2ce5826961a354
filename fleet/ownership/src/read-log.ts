import { applyOwnershipRecord } from "./apply-ownership-record.js";
import { decodeOwnershipRecord } from "./decode-ownership-record.js";
import { emptyOwnershipFold } from "./empty-ownership-fold.js";
import { foldSnapshot } from "./fold-snapshot.js";
import type { GuardedShare } from "./guarded-share.js";
import type { LogPosition } from "./log-position.js";
import type { OwnershipEvent } from "./ownership-event.js";
import type { OwnershipFold } from "./ownership-fold.js";
import type { OwnershipState } from "./ownership-state.js";
import { refreshRights } from "./refresh-rights.js";

type LogRead = Extract<OwnershipEvent, { type: "log-read"; }>;

interface Reading {
    readonly log: LogPosition;
    readonly fold: OwnershipFold;
}

/** A response with so many records may be a full page, and not the end of the log. */
const PAGE_RECORDS = 100;

const readRecord = (reading: Reading, offset: number, value: unknown, atMs: number): Reading => {
    const log = { ...reading.log, nextOffset: offset + 1 };
    const record = decodeOwnershipRecord(value);
    if (record === undefined) {
        return { log, fold: { ...reading.fold, malformedRecords: reading.fold.malformedRecords + 1 } };
    }
    if (record.type === "snapshot") {
        const seen = { ...log, snapshotSeenAtMs: atMs };
        const isUsable = record.throughOffset < offset && record.throughOffset + 1 >= log.firstOffset;
        return log.mode === "following" || !isUsable ? { log: seen, fold: reading.fold } : {
            log: { ...seen, mode: "following", nextOffset: record.throughOffset + 1 },
            fold: foldSnapshot(record.terms, reading.fold),
        };
    }
    if (log.mode === "following") {
        return { log, fold: applyOwnershipRecord(reading.fold, record, offset) };
    }
    if (record.type === "assign" && record.restartAtOffset === offset) {
        const lost = { ...reading.fold, termsByShare: emptyOwnershipFold.termsByShare };
        const fold = applyOwnershipRecord(lost, record, offset);
        return fold.termsByShare.some(terms => terms.length > 0)
            ? { log: { ...log, mode: "following" }, fold }
            : { log, fold: reading.fold };
    }
    return { log, fold: reading.fold };
};

const markOwnersSeen = (state: OwnershipState, fold: OwnershipFold, atMs: number): OwnershipState => {
    const guarded = new Map<number, GuardedShare>();
    for (const [share, known] of state.guarded) {
        const before = state.fold.termsByShare[share]?.at(-1);
        const after = fold.termsByShare[share]?.at(-1);
        const isExtended = before?.term === after?.term && (after?.boundMs ?? 0) > (before?.boundMs ?? 0);
        guarded.set(share, isExtended ? { ...known, ownerSeenAtMs: atMs } : known);
    }
    return { ...state, guarded };
};

/** Folds a read of the log. Records are folded in offset order, without gaps, and each one once. */
export const readLog = (state: OwnershipState, event: LogRead): OwnershipState => {
    const { atMs } = event;
    // The log never goes back. A lower end than this daemon has read comes from a stale response.
    if (event.nextOffset < state.log.nextOffset) {
        return state;
    }
    const firstOffset = Math.max(event.firstOffset, state.log.firstOffset);
    let reading: Reading = { log: { ...state.log, firstOffset }, fold: state.fold };
    if (firstOffset > reading.log.nextOffset) {
        reading = { ...reading, log: { ...reading.log, mode: "seeking", nextOffset: firstOffset } };
    }
    for (const { offset, value } of event.records) {
        if (offset === reading.log.nextOffset) {
            reading = readRecord(reading, offset, value, atMs);
        }
    }
    const caughtUp = reading.log.nextOffset === event.nextOffset && event.records.length < PAGE_RECORDS;
    const isEmpty = caughtUp && firstOffset === event.nextOffset && event.records.length === 0;
    const log: LogPosition = {
        ...reading.log,
        available: true,
        caughtUp,
        lastReadAtMs: atMs,
        caughtUpSinceMs: caughtUp ? reading.log.caughtUpSinceMs ?? atMs : undefined,
        emptyAtOffset: isEmpty && reading.log.mode === "seeking" && firstOffset > 0 ? firstOffset : undefined,
        snapshotSeenAtMs: state.log.lastReadAtMs === undefined ? atMs : reading.log.snapshotSeenAtMs,
    };
    return reading.fold === state.fold
        ? { ...state, log }
        : refreshRights({ ...markOwnersSeen(state, reading.fold, atMs), log, fold: reading.fold }, atMs);
};
