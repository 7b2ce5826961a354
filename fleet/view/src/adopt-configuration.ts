import type { Transition } from "@marigoldstall/core.types";
import type { KnownConfiguration } from "./known-configuration.js";
import type { ViewEffect } from "./view-effect.js";
import type { ViewState } from "./view-state.js";

/** Puts a configuration in force unless an equal or newer one is. */
export const adoptConfiguration = (
    state: ViewState,
    configuration: KnownConfiguration | undefined,
): Transition<ViewState, ViewEffect> => {
    const inForce = state.configuration?.configuration.version ?? 0;
    if (configuration === undefined || configuration.configuration.version <= inForce) {
        return { state, effects: [] };
    }
    return {
        state: { ...state, configuration },
        effects: [{ type: "configuration-adopted", configuration: configuration.configuration }],
    };
};
