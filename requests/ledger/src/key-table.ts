import type { KeyCounts } from "./key-counts.js";
import type { KeyGeneration } from "./key-generation.js";

/** Keys of the shares that this daemon owns. */
export interface KeyTable {
    /** Generations of keys, by share and then by the index of their interval of key time. */
    readonly generations: readonly ReadonlyMap<number, KeyGeneration>[];
    /** Key time below which keys may have been evicted, by share. It never decreases. */
    readonly floorsMs: readonly number[];
    readonly counts: KeyCounts;
}
