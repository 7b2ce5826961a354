import type { Transition } from "@marigoldstall/core.types";
import type { MeasuringEffect } from "./measuring-effect.js";
import type { MeasuringEvent } from "./measuring-event.js";
import type { MeasuringState } from "./measuring-state.js";

/** Reduces one event of the measuring slice. */
export const reduceMeasuring = (
    state: MeasuringState,
    event: MeasuringEvent,
): Transition<MeasuringState, MeasuringEffect> => {
    switch (event.type) {
        case "budget-changed":
            return { state: { ...state, unitCount: Math.floor(event.probesPerSecond) }, effects: [] };
        case "shares-changed":
            return { state: { ...state, shares: event.shares }, effects: [] };
        case "tick":
            return { state, effects: [] };
    }
};
