import type { StorePosition } from "./store-position.js";

/** Orders positions by era, then by offset. Negative if `a` is before `b`. */
export const comparePositions = (a: StorePosition, b: StorePosition): number =>
    a.era === b.era ? a.offset - b.offset : a.era - b.era;
