import type * as Schema from "effect/Schema";
import type { ValueProblem } from "./value-problem.js";

/** Options of {@link checkYaml}. */
export interface CheckYamlOptions<T> {
    readonly file: string;
    /** Error code without the `ERR_MARIGOLDSTALL_` prefix. */
    readonly code: string;
    readonly step: string;
    readonly hint: string;
    readonly schema: Schema.ConstraintDecoder<T>;
    /** Validates constraints across keys. Runs only when each key is valid on its own. */
    readonly crossCheck?: (value: T) => readonly ValueProblem[];
    /** Keys whose values are never included in messages. */
    readonly secretKeys?: readonly string[];
}
