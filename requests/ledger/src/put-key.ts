import * as HashMap from "effect/HashMap";
import { addCounts } from "./add-counts.js";
import { emptyKeyTable } from "./empty-key-table.js";
import { findKey } from "./find-key.js";
import type { KeyCounts } from "./key-counts.js";
import type { KeyEntry } from "./key-entry.js";
import type { KeyPlace } from "./key-place.js";
import type { KeyTable } from "./key-table.js";
import { ledgerTiming } from "./ledger-timing.js";

const countsOf = (entry: KeyEntry | undefined): KeyCounts =>
    entry === undefined
        ? emptyKeyTable.counts
        : { ...emptyKeyTable.counts, [entry.status]: 1, storedBytes: entry.storedBytes };

/** Sets the entry of a key. The cost does not depend on the number of keys. */
export const putKey = (table: KeyTable, place: KeyPlace, entry: KeyEntry): KeyTable => {
    const number = Math.floor(place.keyTimeMs / ledgerTiming.generationMs);
    const shareGenerations = new Map(table.generations[place.share]);
    const generation = shareGenerations.get(number) ?? { entries: HashMap.empty(), counts: emptyKeyTable.counts };
    const change = addCounts(countsOf(entry), countsOf(findKey(table, place)), -1);
    shareGenerations.set(number, {
        entries: HashMap.set(generation.entries, place.id, entry),
        counts: addCounts(generation.counts, change),
    });
    return {
        ...table,
        generations: table.generations.with(place.share, shareGenerations),
        counts: addCounts(table.counts, change),
    };
};
