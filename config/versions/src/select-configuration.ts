import type { AcceptedConfiguration } from "@marigoldstall/core.types";
import type { ConfigurationState } from "./configuration-state.js";

/** The version in force, if there is one. */
export const selectConfiguration = (state: ConfigurationState): AcceptedConfiguration | undefined =>
    state.fold.accepted;
