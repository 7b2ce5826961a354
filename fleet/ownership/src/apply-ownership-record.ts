import { emptyOwnershipFold } from "./empty-ownership-fold.js";
import { isSameDaemon } from "./is-same-daemon.js";
import type { OwnershipFold } from "./ownership-fold.js";
import type { OwnershipRecord } from "./ownership-record.js";
import { OWNERSHIP_TIMING } from "./ownership-timing.js";
import { SHARE_COUNT } from "./share-count.js";
import type { ShareTerm } from "./share-term.js";
import { termNumbers } from "./term-numbers.js";

type AssignRecord = Extract<OwnershipRecord, { type: "assign"; }>;
type AssignEntry = AssignRecord["entries"][number];

const isEntryValid = (current: ShareTerm | undefined, record: AssignRecord, entry: AssignEntry): boolean => {
    if (current === undefined) {
        return record.basis === "bootstrap" && entry.term === 1;
    }
    if (entry.term !== current.term + 1) {
        return false;
    }
    switch (record.basis) {
        case "owner":
            return isSameDaemon(record.writer, current.owner);
        case "guardian":
            return isSameDaemon(record.writer, current.guardian);
        case "expired":
            return entry.fromMs >= current.capMs;
        case "bootstrap":
            return false;
    }
};

const startTerm = (current: ShareTerm | undefined, entry: AssignEntry): ShareTerm => {
    const fromMs = Math.max(entry.fromMs, current?.boundMs ?? 0);
    return {
        share: entry.share,
        term: entry.term,
        owner: entry.owner,
        guardian: entry.guardian,
        fromMs,
        capMs: Math.max(fromMs, entry.capMs),
        boundMs: fromMs,
    };
};

const dropOldTerms = (terms: readonly ShareTerm[]): readonly ShareTerm[] => {
    const keepFromMs = (terms.at(-1)?.boundMs ?? 0) - OWNERSHIP_TIMING.termRetentionMs;
    return terms.filter((term, index) => {
        const next = terms[index + 1];
        return next === undefined || (next.fromMs >= keepFromMs && next.fromMs > term.fromMs);
    });
};

const applyRestart = (fold: OwnershipFold, record: AssignRecord, offset: number): OwnershipFold => {
    const shares = new Set(record.entries.map(entry => entry.share));
    const era = termNumbers.eraOf(record.entries[0]?.term ?? 1);
    const currentEra = Math.max(0, ...fold.termsByShare.map(terms => termNumbers.eraOf(terms.at(-1)?.term ?? 1)));
    const term = termNumbers.ofRestart({ era, offset });
    // Each term took one record, so a term number above the offset exceeds all term numbers in the lost records. A
    // delayed record from before the restart is therefore never valid after it.
    const isValid = era >= currentEra
        && record.restartAtOffset === offset
        && record.basis === "bootstrap"
        && shares.size === SHARE_COUNT
        && record.entries.length === SHARE_COUNT
        && record.entries.every(entry => entry.term === term);
    if (!isValid) {
        return { ...fold, invalidEntries: fold.invalidEntries + record.entries.length };
    }
    const termsByShare = [...emptyOwnershipFold.termsByShare];
    for (const entry of record.entries) {
        termsByShare[entry.share] = [startTerm(undefined, entry)];
    }
    return { ...fold, termsByShare };
};

const applyAssign = (fold: OwnershipFold, record: AssignRecord): OwnershipFold => {
    const termsByShare = [...fold.termsByShare];
    let invalidEntries = fold.invalidEntries;
    for (const entry of record.entries) {
        const terms = termsByShare[entry.share] ?? [];
        const current = terms.at(-1);
        if (isEntryValid(current, record, entry)) {
            termsByShare[entry.share] = dropOldTerms([...terms, startTerm(current, entry)]);
        }
        else {
            invalidEntries += 1;
        }
    }
    return { ...fold, termsByShare, invalidEntries };
};

const applyExtend = (fold: OwnershipFold, record: Extract<OwnershipRecord, { type: "extend"; }>): OwnershipFold => {
    const termsByShare = [...fold.termsByShare];
    let invalidEntries = fold.invalidEntries;
    for (const entry of record.entries) {
        const terms = termsByShare[entry.share] ?? [];
        const current = terms.at(-1);
        if (current === undefined || current.term !== entry.term || !isSameDaemon(current.owner, record.writer)) {
            invalidEntries += 1;
            continue;
        }
        const capMs = Math.max(current.capMs, entry.capMs);
        const boundMs = Math.max(current.boundMs, Math.min(entry.boundMs, capMs));
        termsByShare[entry.share] = dropOldTerms([...terms.slice(0, -1), { ...current, capMs, boundMs }]);
    }
    return { ...fold, termsByShare, invalidEntries };
};

/**
 * Folds the record at the given offset. A term starts at or above every bound that was extended before it, so an
 * extension that races with the end of its term is safe in either order.
 */
export const applyOwnershipRecord = (fold: OwnershipFold, record: OwnershipRecord, offset: number): OwnershipFold => {
    switch (record.type) {
        case "assign":
            return record.restartAtOffset === undefined
                ? applyAssign(fold, record)
                : applyRestart(fold, record, offset);
        case "extend":
            return applyExtend(fold, record);
        case "snapshot":
            return fold;
    }
};
