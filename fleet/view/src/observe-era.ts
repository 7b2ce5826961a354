import type { Transition } from "@marigoldstall/core.types";
import { UNKNOWN_ERA } from "./unknown-era.js";
import type { ViewEffect } from "./view-effect.js";
import type { ViewState } from "./view-state.js";

/** Records the era of a response of the store. Reports a restore of the store once. */
export const observeEra = (state: ViewState, era: number): Transition<ViewState, ViewEffect> => {
    const { storeEra } = state;
    if (storeEra !== undefined && storeEra >= era) {
        return { state, effects: [] };
    }
    if (storeEra === undefined || storeEra === UNKNOWN_ERA) {
        return { state: { ...state, storeEra: era }, effects: [] };
    }
    return {
        state: { ...state, storeEra: era, isRestoreSeen: true },
        effects: [{ type: "store-restored", era, previousEra: storeEra }],
    };
};
