import { EMPTY_FOLD, foldRead } from "@marigoldstall/config.versions";
import type { Fold, FoldOutcome } from "@marigoldstall/config.versions";
import type { MarigoldstallError } from "@marigoldstall/core.error";
import type { LogClient } from "@marigoldstall/platform.log-client";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";

const RECORDS_PER_READ = 200;
// Bounds the loop when reads make no progress.
const MAX_READS = 10_000;

interface ConfigurationStreamContent {
    readonly fold: Fold;
    readonly outcomes: readonly FoldOutcome[];
}

/** Reads the `configuration` stream to its end. */
export const readConfigurationStream = async (
    log: LogClient,
): Promise<Result<ConfigurationStreamContent, MarigoldstallError>> => {
    let fold = EMPTY_FOLD;
    let era = 0;
    // Adopting a snapshot moves the fold back, so records can be folded twice. The later outcome replaces the earlier
    // one, except that of the adopted snapshot, which is the only trace of versions whose records were removed.
    const outcomes = new Map<number, FoldOutcome>();
    for (let reads = 0; reads < MAX_READS; reads += 1) {
        const from = fold.nextOffset;
        const read = await log.read("configuration", { from, limit: RECORDS_PER_READ });
        if (read.isErr()) {
            return err(read.error);
        }
        if ((read.value.era ?? 0) > era) {
            // The log was restored from an older copy meanwhile, so offsets that were read are given out again.
            era = read.value.era ?? 0;
            fold = EMPTY_FOLD;
            outcomes.clear();
            if (from > 0) {
                continue;
            }
        }
        const result = foldRead(fold, { ...read.value, from });
        fold = result.fold;
        for (const outcome of result.outcomes) {
            if (outcomes.get(outcome.offset)?.type !== "snapshot-adopted") {
                outcomes.set(outcome.offset, outcome);
            }
        }
        if (result.isCaughtUp) {
            break;
        }
    }
    return ok({ fold, outcomes: [...outcomes.values()].sort((left, right) => left.offset - right.offset) });
};
