import * as Schema from "effect/Schema";
import { ServiceTime } from "./service-time.js";

const Count = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0));

/** Options of a backend server. */
export const BackendOptions = Schema.Struct({
    service: Schema.optionalKey(Schema.String),
    vmId: Schema.optionalKey(Schema.String),
    /** Port on 127.0.0.1; 0 picks a free one. */
    port: Schema.optionalKey(Count),
    seed: Schema.optionalKey(Schema.Int),
    slots: Schema.optionalKey(Count),
    /** Requests that may wait for a slot; above it they are shed. */
    queueLimit: Schema.optionalKey(Count),
    maxConnections: Schema.optionalKey(Count),
    /** Time that the server takes to accept one connection; connections are accepted one after the other. */
    acceptMs: Schema.optionalKey(Schema.Number),
    serviceTime: Schema.optionalKey(ServiceTime),
    /** Size of the answer's body, unless the request says otherwise. */
    responseBytes: Schema.optionalKey(Count),
    /** After each start, service times are multiplied by `factor` for this long. */
    coldStart: Schema.optionalKey(Schema.Struct({ forMs: Count, factor: Schema.Number })),
});
