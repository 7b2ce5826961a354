import type { FoldReadResult } from "./fold-read-result.js";
import { foldRecord } from "./fold-record.js";
import type { FoldVerdict } from "./fold-verdict.js";
import type { Fold } from "./fold.js";
import type { StreamRead } from "./stream-read.js";

/** Folds the answer to one read. Records that were folded before are skipped. */
export const foldRead = (start: Fold, read: StreamRead): FoldReadResult => {
    if (read.from > start.nextOffset) {
        // The fold has moved back since the read was sent: records between would be skipped.
        return { fold: start, verdicts: [], isCaughtUp: false, hasGap: false };
    }
    const hasGap = read.firstOffset > start.nextOffset;
    let fold: Fold = hasGap ? { ...start, nextOffset: read.firstOffset, isComplete: false } : start;
    const verdicts: FoldVerdict[] = [];
    for (const record of read.records) {
        if (record.offset < fold.nextOffset) {
            continue;
        }
        const step = foldRecord(fold, { ...record, firstOffset: read.firstOffset });
        fold = step.fold;
        verdicts.push(step.verdict);
        if (fold.nextOffset <= record.offset) {
            // A snapshot moved the fold back; the records after it are read again.
            break;
        }
    }
    return { fold, verdicts, isCaughtUp: fold.nextOffset >= read.nextOffset, hasGap };
};
