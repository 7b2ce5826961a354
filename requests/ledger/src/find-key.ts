import * as HashMap from "effect/HashMap";
import * as Option from "effect/Option";
import type { KeyEntry } from "./key-entry.js";
import type { KeyPlace } from "./key-place.js";
import type { KeyTable } from "./key-table.js";
import { ledgerTiming } from "./ledger-timing.js";

/** Entry of a key, if the owner's table has one. */
export const findKey = (table: KeyTable, place: KeyPlace): KeyEntry | undefined => {
    const generation = table.generations[place.share]?.get(Math.floor(place.keyTimeMs / ledgerTiming.generationMs));
    return generation === undefined ? undefined : Option.getOrUndefined(HashMap.get(generation.entries, place.id));
};
