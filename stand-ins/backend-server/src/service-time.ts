import * as Schema from "effect/Schema";

/** Distribution of the time that a run takes on a server without faults. */
export const ServiceTime = Schema.Struct({
    distribution: Schema.Literals(["constant", "exponential", "lognormal"]),
    meanMs: Schema.Number.check(Schema.isGreaterThanOrEqualTo(0)),
    /** Standard deviation of the logarithm, for the lognormal distribution only. */
    sigma: Schema.optionalKey(Schema.Number),
});
