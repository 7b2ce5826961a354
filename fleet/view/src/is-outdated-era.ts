import type { ViewState } from "./view-state.js";

/** Whether an era ended before the latest restore of the store that this VM knows of. */
export const isOutdatedEra = (state: ViewState, era: number): boolean =>
    state.storeEra !== undefined && era < state.storeEra;
