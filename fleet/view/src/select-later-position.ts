import { comparePositions } from "./compare-positions.js";
import type { StorePosition } from "./store-position.js";

/** Returns the later of two positions. */
export const selectLaterPosition = (a: StorePosition, b: StorePosition | undefined): StorePosition =>
    b !== undefined && comparePositions(b, a) > 0 ? b : a;
