import * as Schema from "effect/Schema";

const count = Schema.Finite.check(Schema.makeFilter((value: number) => value >= 0));
const optionalNumber = Schema.optionalKey(Schema.Finite);

/** Schema of the fields that the tool uses in the response to `status.get`. */
export const statusSchema = Schema.Struct({
    vmId: Schema.String,
    incarnation: Schema.String,
    configurationVersion: optionalNumber,
    ready: Schema.Boolean,
    reasonsNotReady: Schema.Array(Schema.String),
    backendServers: Schema.Array(Schema.Struct({
        service: Schema.String,
        address: Schema.String,
        vmId: Schema.String,
        condition: Schema.String,
    })),
    classes: Schema.Array(Schema.Struct({
        service: Schema.String,
        className: Schema.String,
        lateness: Schema.Struct({ percentile: Schema.Finite, withinMs: Schema.Finite }),
        turnedAwayAtMostPercent: Schema.Finite,
        arrived: count,
        completed: count,
        late: count,
        rejected: count,
        unknown: count,
        atTargetPercentileMs: optionalNumber,
    })),
    sharesOwned: count,
    logAvailable: Schema.Boolean,
    probesInLastSecond: count,
    probesPerSecond: optionalNumber,
    stale: Schema.Array(Schema.String),
});
