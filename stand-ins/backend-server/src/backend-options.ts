import * as Schema from "effect/Schema";
import { ServiceTime } from "./service-time.js";

const Count = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0));

/** Options of {@link BackendServer}. */
export const BackendOptions = Schema.Struct({
    service: Schema.optionalKey(Schema.String),
    vmId: Schema.optionalKey(Schema.String),
    /** Port on 127.0.0.1; 0 selects a free port. */
    port: Schema.optionalKey(Count),
    seed: Schema.optionalKey(Schema.Int),
    slots: Schema.optionalKey(Count),
    /** Maximum number of requests waiting for a slot; further requests are shed. */
    queueLimit: Schema.optionalKey(Count),
    maxConnections: Schema.optionalKey(Count),
    /** Time to accept one connection. Connections are accepted one at a time. */
    acceptMs: Schema.optionalKey(Schema.Number),
    serviceTime: Schema.optionalKey(ServiceTime),
    /** Size of the response body, unless the request sets it with `responseBytes`. */
    responseBytes: Schema.optionalKey(Count),
    /** Service times are multiplied by `factor` during the first `forMs` after each start. */
    coldStart: Schema.optionalKey(Schema.Struct({ forMs: Count, factor: Schema.Number })),
});
