import type { Targets } from "@marigoldstall/core.types";
import { createHash } from "node:crypto";
import { canonicalizeTargets } from "./canonicalize-targets.js";

/** Returns the SHA-256 of the canonical form in hexadecimal. Equivalent targets have the same digest. */
export const digestTargets = (targets: Targets): string =>
    createHash("sha256").update(JSON.stringify(canonicalizeTargets(targets))).digest("hex");
