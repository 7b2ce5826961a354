import type { AcceptedConfiguration } from "@marigoldstall/core.types";
import type { ConfigurationState } from "./configuration-state.js";

/** Returns the active version, if there is one. */
export const selectConfiguration = (state: ConfigurationState): AcceptedConfiguration | undefined =>
    state.fold.accepted;
