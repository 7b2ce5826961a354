import type { Transition } from "@marigoldstall/core.types";
import type { KnownConfiguration } from "./known-configuration.js";
import type { ViewEffect } from "./view-effect.js";
import type { ViewState } from "./view-state.js";

/** Applies a configuration unless the current one has the same or a newer version. */
export const adoptConfiguration = (
    state: ViewState,
    configuration: KnownConfiguration | undefined,
): Transition<ViewState, ViewEffect> => {
    const currentVersion = state.configuration?.configuration.version ?? 0;
    if (configuration === undefined || configuration.configuration.version <= currentVersion) {
        return { state, effects: [] };
    }
    return {
        state: { ...state, configuration },
        effects: [{ type: "configuration-adopted", configuration: configuration.configuration }],
    };
};
