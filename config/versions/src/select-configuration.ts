import type { AcceptedConfiguration } from "@marigoldstall/core.types";
import type { ConfigurationState } from "./configuration-state.js";

/** Returns the active version, if there is one. */
export const selectConfiguration = ({ fold, retained }: ConfigurationState): AcceptedConfiguration | undefined =>
    retained !== undefined && retained.version > (fold.accepted?.version ?? 0) ? retained : fold.accepted;
