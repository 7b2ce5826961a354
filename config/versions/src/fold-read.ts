import type { FoldOutcome } from "./fold-outcome.js";
import type { FoldReadResult } from "./fold-read-result.js";
import { foldRecord } from "./fold-record.js";
import type { Fold } from "./fold.js";
import type { StreamRead } from "./stream-read.js";

/** Folds the records of one read, skipping those that were folded before. */
export const foldRead = (start: Fold, read: StreamRead): FoldReadResult => {
    if (read.from > start.nextOffset) {
        // The fold moved back after the read was sent, so the records in between would be skipped.
        return { fold: start, outcomes: [], isCaughtUp: false, hasGap: false };
    }
    const hasGap = read.firstOffset > start.nextOffset;
    let fold: Fold = hasGap ? { ...start, nextOffset: read.firstOffset, isComplete: false } : start;
    const outcomes: FoldOutcome[] = [];
    for (const record of read.records) {
        if (record.offset < fold.nextOffset) {
            continue;
        }
        const step = foldRecord(fold, { ...record, firstOffset: read.firstOffset });
        fold = step.fold;
        outcomes.push(step.outcome);
        if (fold.nextOffset <= record.offset) {
            // A snapshot moved the fold back, so the records after its state have to be read again.
            break;
        }
    }
    return { fold, outcomes, isCaughtUp: fold.nextOffset >= read.nextOffset, hasGap };
};
