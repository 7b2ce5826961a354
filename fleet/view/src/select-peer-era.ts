import { UNKNOWN_ERA } from "./unknown-era.js";
import type { ViewState } from "./view-state.js";

/**
 * The era of a peer's position. A VM of an earlier release counts as being in the era of this VM until a restore of the
 * store was seen: its position belongs to an unknown history after that.
 */
export const selectPeerEra = (state: ViewState, era: number): number =>
    era === UNKNOWN_ERA && !state.isRestoreSeen ? state.storeEra ?? era : era;
