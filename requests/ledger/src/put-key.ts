import * as HashMap from "effect/HashMap";
import { addCounts } from "./add-counts.js";
import { emptyKeyTable } from "./empty-key-table.js";
import { findKey } from "./find-key.js";
import type { KeyCounts } from "./key-counts.js";
import type { KeyEntry } from "./key-entry.js";
import type { KeyLocation } from "./key-location.js";
import type { KeyTable } from "./key-table.js";
import { LEDGER_TIMING } from "./ledger-timing.js";

const countsOf = (entry: KeyEntry | undefined): KeyCounts =>
    entry === undefined
        ? emptyKeyTable.counts
        : { ...emptyKeyTable.counts, [entry.status]: 1, storedBytes: entry.storedBytes };

/** Sets the entry of a key. The cost must not be proportional to the number of keys, as each claim calls this. */
export const putKey = (table: KeyTable, location: KeyLocation, entry: KeyEntry): KeyTable => {
    const generationIndex = Math.floor(location.keyTimeMs / LEDGER_TIMING.generationSpanMs);
    const shareGenerations = new Map(table.generations[location.share]);
    const generation = shareGenerations.get(generationIndex)
        ?? { entries: HashMap.empty(), counts: emptyKeyTable.counts };
    const change = addCounts(countsOf(entry), countsOf(findKey(table, location)), -1);
    shareGenerations.set(generationIndex, {
        entries: HashMap.set(generation.entries, location.id, entry),
        counts: addCounts(generation.counts, change),
    });
    return {
        ...table,
        generations: table.generations.with(location.share, shareGenerations),
        counts: addCounts(table.counts, change),
    };
};
