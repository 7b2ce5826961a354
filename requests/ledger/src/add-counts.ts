import type { KeyCounts } from "./key-counts.js";

/** Adds `right` times `factor` to `left`; a factor of -1 subtracts. */
export const addCounts = (left: KeyCounts, right: KeyCounts, factor = 1): KeyCounts => ({
    granted: left.granted + factor * right.granted,
    completed: left.completed + factor * right.completed,
    unknown: left.unknown + factor * right.unknown,
    released: left.released + factor * right.released,
    storedBytes: left.storedBytes + factor * right.storedBytes,
});
