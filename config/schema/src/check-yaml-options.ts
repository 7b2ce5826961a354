import type * as Schema from "effect/Schema";
import type { ValueProblem } from "./value-problem.js";

/** Options of {@link checkYaml}. */
export interface CheckYamlOptions<T> {
    readonly file: string;
    /** Code of the error, without the `ERR_MARIGOLDSTALL_` prefix. */
    readonly code: string;
    readonly step: string;
    readonly hint: string;
    readonly schema: Schema.ConstraintDecoder<T>;
    /** Checks that concern more than one key; run only when each key is right on its own. */
    readonly crossCheck?: (value: T) => readonly ValueProblem[];
    /** Keys whose values never appear in messages. */
    readonly secretKeys?: readonly string[];
}
