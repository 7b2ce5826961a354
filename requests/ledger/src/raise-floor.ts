import { addCounts } from "./add-counts.js";
import type { KeyTable } from "./key-table.js";
import { ledgerTiming } from "./ledger-timing.js";

/** Raises the floor of a share to the retention time below its bound, and forgets the generations below it. */
export const raiseFloor = (
    table: KeyTable,
    opts: { readonly share: number; readonly boundMs: number; },
): KeyTable => {
    const { share } = opts;
    const floorMs = opts.boundMs - ledgerTiming.keyRetentionMs;
    if (floorMs <= (table.floorsMs[share] ?? 0)) {
        return table;
    }
    const raised = { ...table, floorsMs: table.floorsMs.with(share, floorMs) };
    const shareGenerations = new Map(table.generations[share]);
    let { counts } = table;
    for (const [number, generation] of shareGenerations) {
        if ((number + 1) * ledgerTiming.generationMs <= floorMs) {
            shareGenerations.delete(number);
            counts = addCounts(counts, generation.counts, -1);
        }
    }
    return shareGenerations.size === table.generations[share]?.size
        ? raised
        : { ...raised, counts, generations: table.generations.with(share, shareGenerations) };
};
