import { addCounts } from "./add-counts.js";
import type { KeyTable } from "./key-table.js";
import { LEDGER_TIMING } from "./ledger-timing.js";

/** Raises the floor of a share to its bound minus the retention time, and evicts the generations below the floor. */
export const raiseFloor = (
    table: KeyTable,
    opts: { readonly share: number; readonly boundMs: number; },
): KeyTable => {
    const { share } = opts;
    const floorMs = opts.boundMs - LEDGER_TIMING.keyRetentionMs;
    if (floorMs <= (table.floorsMs[share] ?? 0)) {
        return table;
    }
    const raised = { ...table, floorsMs: table.floorsMs.with(share, floorMs) };
    const shareGenerations = new Map(table.generations[share]);
    let { counts } = table;
    for (const [generationIndex, generation] of shareGenerations) {
        if ((generationIndex + 1) * LEDGER_TIMING.generationSpanMs <= floorMs) {
            shareGenerations.delete(generationIndex);
            counts = addCounts(counts, generation.counts, -1);
        }
    }
    return shareGenerations.size === table.generations[share]?.size
        ? raised
        : { ...raised, counts, generations: table.generations.with(share, shareGenerations) };
};
