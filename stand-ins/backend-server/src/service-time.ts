import * as Schema from "effect/Schema";

/** Distribution of the service time without faults. */
export const ServiceTime = Schema.Struct({
    distribution: Schema.Literals(["constant", "exponential", "lognormal"]),
    meanMs: Schema.Number.check(Schema.isGreaterThanOrEqualTo(0)),
    /** Standard deviation of the logarithm of the service time, for the lognormal distribution only. */
    sigma: Schema.optionalKey(Schema.Number),
});
