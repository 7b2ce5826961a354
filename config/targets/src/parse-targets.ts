import { checkValue } from "@marigoldstall/config.schema";
import { MarigoldstallError } from "@marigoldstall/core.error";
import type { Targets } from "@marigoldstall/core.types";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { crossCheckTargets } from "./cross-check-targets.js";
import { targetsSchema } from "./targets-schema.js";

const fail = (message: string): Result<Targets, MarigoldstallError> =>
    err(new MarigoldstallError({ code: "TARGETS_INVALID", message, step: "parse targets" }));

/** Validates targets from a log record or a peer by the same rules as the operator's file. */
export const parseTargets = (value: unknown): Result<Targets, MarigoldstallError> => {
    const checked = checkValue(value, { schema: targetsSchema });
    const problems = checked.isErr() ? checked.error : crossCheckTargets(checked.value);
    const [problem] = problems;
    if (checked.isErr() || problem !== undefined) {
        return fail(
            `the targets have ${problems.length} problems, first ${problem?.path.join(".")}: ${problem?.message}`,
        );
    }
    return ok(checked.value);
};
