import { checkYaml } from "@marigoldstall/config.schema";
import type { InvalidFileError } from "@marigoldstall/config.schema";
import type { Targets } from "@marigoldstall/core.types";
import type { Result } from "neverthrow";
import { crossCheckTargets } from "./cross-check-targets.js";
import type { ReadTargetsOptions } from "./read-targets-options.js";
import { targetsSchema } from "./targets-schema.js";

/** Parses and validates targets in YAML. The error lists every problem with file, line, key and expectation. */
export const readTargets = (text: string, opts: ReadTargetsOptions): Result<Targets, InvalidFileError> =>
    checkYaml(text, {
        file: opts.file,
        code: "TARGETS_INVALID",
        step: "read targets",
        hint: "correct the file; docs/operators.md lists every key",
        schema: targetsSchema,
        crossCheck: crossCheckTargets,
    });
