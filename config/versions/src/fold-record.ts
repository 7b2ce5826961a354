import { digestTargets } from "@marigoldstall/config.targets";
import type { FoldStep } from "./fold-step.js";
import type { Fold } from "./fold.js";
import { parseConfigurationRecord } from "./parse-configuration-record.js";
import type { PublishRecord } from "./publish-record.js";
import type { Snapshot } from "./snapshot.js";
import { versionNumbers } from "./version-numbers.js";

interface FoldRecordOptions {
    readonly offset: number;
    readonly value: unknown;
    /** Oldest offset that the log retains. */
    readonly firstOffset: number;
}

const findRejectionReason = (fold: Fold, publish: PublishRecord, offset: number): string | undefined => {
    const newest = fold.accepted?.version ?? 0;
    const era = versionNumbers.eraOf(publish.version);
    if (publish.restartAtOffset !== undefined) {
        const isValid = publish.restartAtOffset === offset && publish.parentVersion === 0
            && publish.version === versionNumbers.ofRestart({ era, offset }) && era >= versionNumbers.eraOf(newest);
        return isValid ? undefined : `the restart is valid at offset ${publish.restartAtOffset} only`;
    }
    if (publish.parentVersion !== newest) {
        return `its parent is version ${publish.parentVersion}, the newest is ${newest}`;
    }
    const next = versionNumbers.next({ era, newest });
    return publish.version === next ? undefined : `its version is not ${next}`;
};

const foldPublish = (fold: Fold, publish: PublishRecord, offset: number): FoldStep => {
    const next = { ...fold, nextOffset: offset + 1 };
    if (!fold.isComplete && publish.restartAtOffset === undefined) {
        return { fold: next, outcome: { type: "undecided", offset, publishId: publish.publishId } };
    }
    const reason = findRejectionReason(fold, publish, offset);
    if (reason !== undefined) {
        const { publishId, author } = publish;
        return { fold: next, outcome: { type: "rejected", offset, publishId, author, reason } };
    }
    const { publishId, version, author, targets } = publish;
    const configuration = { version, offset, publishId, author, digest: digestTargets(targets), targets };
    return {
        fold: { accepted: configuration, nextOffset: offset + 1, isComplete: true },
        outcome: { type: "accepted", offset, configuration },
    };
};

const foldSnapshot = (fold: Fold, snapshot: Snapshot, opts: FoldRecordOptions): FoldStep => {
    const { throughOffset, state } = snapshot;
    const version = fold.accepted?.version ?? 0;
    const isWellFormed = state.offset <= throughOffset && throughOffset < opts.offset;
    const isUsable = isWellFormed && throughOffset + 1 >= opts.firstOffset && state.version >= version;
    if (fold.isComplete || !isUsable) {
        const isConsistent = isWellFormed && (!fold.isComplete || state.version <= version);
        return {
            fold: { ...fold, nextOffset: opts.offset + 1 },
            outcome: { type: "snapshot-seen", offset: opts.offset, isConsistent },
        };
    }
    const configuration = fold.accepted?.version === state.version ? fold.accepted : state;
    return {
        fold: { accepted: configuration, nextOffset: throughOffset + 1, isComplete: true },
        outcome: { type: "snapshot-adopted", offset: opts.offset, configuration },
    };
};

/** Folds one record. The result depends only on the fold and the record, so that all readers agree. */
export const foldRecord = (fold: Fold, opts: FoldRecordOptions): FoldStep => {
    const parsed = parseConfigurationRecord(opts.value);
    if (parsed.isErr()) {
        return {
            fold: { ...fold, nextOffset: opts.offset + 1 },
            outcome: { type: "malformed", offset: opts.offset, reason: parsed.error.message },
        };
    }
    return parsed.value.type === "publish"
        ? foldPublish(fold, parsed.value.publish, opts.offset)
        : foldSnapshot(fold, parsed.value.snapshot, opts);
};
