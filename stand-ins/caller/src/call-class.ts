import * as Schema from "effect/Schema";

const Positive = Schema.Number.check(Schema.isGreaterThan(0));
const Count = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0));

/** One class of calls that a caller sends. */
export const CallClass = Schema.Struct({
    name: Schema.NonEmptyString,
    method: Schema.NonEmptyString,
    /** Path at the entry, with the service in front; the caller adds a query. */
    path: Schema.NonEmptyString,
    ratePerSecond: Positive,
    /** Calls of a class that is not repeatable carry an `Idempotency-Key`. */
    repeatable: Schema.Boolean,
    bodyBytes: Schema.optionalKey(Count),
    responseBytes: Schema.optionalKey(Count),
    /** Sent as `Request-Timeout-Ms`. */
    timeoutMs: Schema.optionalKey(Count),
    /** Share of the calls that are sent a second time with the same key, through another entry. */
    duplicateShare: Schema.optionalKey(Schema.Number),
    /** The second copy is sent up to this much later. */
    duplicateWithinMs: Schema.optionalKey(Count),
});
