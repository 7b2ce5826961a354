import type { Targets } from "@marigoldstall/core.types";
import { stringify } from "yaml";
import { canonicalizeTargets } from "./canonicalize-targets.js";

/** Formats targets as YAML that {@link readTargets} accepts. */
export const formatTargets = (targets: Targets): string =>
    stringify(canonicalizeTargets(targets), { lineWidth: 100, aliasDuplicateObjects: false });
