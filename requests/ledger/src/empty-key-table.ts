import { SHARE_COUNT } from "@marigoldstall/fleet.ownership";
import type { KeyTable } from "./key-table.js";

export const emptyKeyTable: KeyTable = {
    generations: Array.from({ length: SHARE_COUNT }, () => new Map()),
    floorsMs: Array.from({ length: SHARE_COUNT }, () => 0),
    counts: { granted: 0, completed: 0, unknown: 0, released: 0, storedBytes: 0 },
};
