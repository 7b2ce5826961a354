import type { Targets } from "@marigoldstall/core.types";
import { createHash } from "node:crypto";
import { canonicalizeTargets } from "./canonicalize-targets.js";

/** SHA-256 in hexadecimal of the canonical form: the same for targets that mean the same. */
export const digestTargets = (targets: Targets): string =>
    createHash("sha256").update(JSON.stringify(canonicalizeTargets(targets))).digest("hex");
