import * as HashMap from "effect/HashMap";
import * as Option from "effect/Option";
import type { KeyEntry } from "./key-entry.js";
import type { KeyLocation } from "./key-location.js";
import type { KeyTable } from "./key-table.js";
import { LEDGER_TIMING } from "./ledger-timing.js";

export const findKey = (table: KeyTable, location: KeyLocation): KeyEntry | undefined => {
    const generation = table.generations[location.share]?.get(
        Math.floor(location.keyTimeMs / LEDGER_TIMING.generationSpanMs),
    );
    return generation === undefined ? undefined : Option.getOrUndefined(HashMap.get(generation.entries, location.id));
};
