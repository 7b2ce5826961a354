import * as Schema from "effect/Schema";
import { CallClass } from "./call-class.js";

const Count = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0));

/** Options of {@link Caller}. */
export const CallerOptions = Schema.Struct({
    /** Addresses of the entry VMs. Each call is sent to one of them, selected at random. */
    entries: Schema.NonEmptyArray(Schema.String),
    classes: Schema.Array(CallClass),
    seed: Schema.Int,
    durationMs: Count,
    /** Calls scheduled during the warm-up are recorded but excluded from the class reports. */
    warmUpMs: Schema.optionalKey(Count),
    /** Calls still pending this long after the last one was sent are aborted. */
    settleMs: Schema.optionalKey(Count),
    /** Sends calls within a few microseconds of their scheduled time, by busy-waiting on one core. */
    precise: Schema.optionalKey(Schema.Boolean),
});
