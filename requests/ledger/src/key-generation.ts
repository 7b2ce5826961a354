import type * as HashMap from "effect/HashMap";
import type { KeyCounts } from "./key-counts.js";
import type { KeyEntry } from "./key-entry.js";

/** Keys of one share within one interval of key time. They are evicted together. */
export interface KeyGeneration {
    readonly entries: HashMap.HashMap<string, KeyEntry>;
    readonly counts: KeyCounts;
}
