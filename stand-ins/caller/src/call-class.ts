import * as Schema from "effect/Schema";

const Positive = Schema.Number.check(Schema.isGreaterThan(0));
const Count = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0));

/** Class of calls to send. */
export const CallClass = Schema.Struct({
    name: Schema.NonEmptyString,
    method: Schema.NonEmptyString,
    /** Path at the entry VM, which starts with the name of the service. The caller appends a query. */
    path: Schema.NonEmptyString,
    ratePerSecond: Positive,
    /** Calls that are not repeatable are sent with an `Idempotency-Key`. */
    repeatable: Schema.Boolean,
    bodyBytes: Schema.optionalKey(Count),
    responseBytes: Schema.optionalKey(Count),
    /** Value of the `Request-Timeout-Ms` header. */
    timeoutMs: Schema.optionalKey(Count),
    /** Fraction of the calls that are sent again with the same key, through another entry VM. */
    duplicateShare: Schema.optionalKey(Schema.Number),
    /** Maximum delay of the second copy. */
    duplicateWithinMs: Schema.optionalKey(Count),
});
