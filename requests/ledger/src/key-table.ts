import type { KeyCounts } from "./key-counts.js";
import type { KeyGeneration } from "./key-generation.js";

/** The owner's table of keys. */
export interface KeyTable {
    /** By share, the generations of keys by the number of their interval. */
    readonly generations: readonly ReadonlyMap<number, KeyGeneration>[];
    /** By share, the key time below which keys may have been forgotten. It never goes down. */
    readonly floorsMs: readonly number[];
    readonly counts: KeyCounts;
}
