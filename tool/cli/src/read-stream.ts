import { EMPTY_FOLD, foldRead } from "@marigoldstall/config.versions";
import type { Fold, FoldOutcome } from "@marigoldstall/config.versions";
import type { MarigoldstallError } from "@marigoldstall/core.error";
import type { LogClient } from "@marigoldstall/platform.log-client";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";

const PAGE_RECORDS = 200;
// A read without progress would otherwise repeat for ever.
const MAX_READS = 10_000;

interface StreamContent {
    readonly fold: Fold;
    readonly verdicts: readonly FoldOutcome[];
}

/** Reads the `configuration` stream to its end. */
export const readStream = async (log: LogClient): Promise<Result<StreamContent, MarigoldstallError>> => {
    let fold = EMPTY_FOLD;
    // A snapshot that is adopted moves the fold back, so that records are judged twice. The later verdict counts, but
    // for the snapshot itself, which is the only trace of versions whose records were removed.
    const verdicts = new Map<number, FoldOutcome>();
    for (let reads = 0; reads < MAX_READS; reads += 1) {
        const from = fold.nextOffset;
        const read = await log.read("configuration", { from, limit: PAGE_RECORDS });
        if (read.isErr()) {
            return err(read.error);
        }
        const result = foldRead(fold, { ...read.value, from });
        fold = result.fold;
        for (const verdict of result.outcomes) {
            if (verdicts.get(verdict.offset)?.type !== "snapshot-adopted") {
                verdicts.set(verdict.offset, verdict);
            }
        }
        if (result.isCaughtUp) {
            break;
        }
    }
    return ok({ fold, verdicts: [...verdicts.values()].sort((left, right) => left.offset - right.offset) });
};
