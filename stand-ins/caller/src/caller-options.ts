import * as Schema from "effect/Schema";
import { CallClass } from "./call-class.js";

const Count = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0));

/** Options of a caller. */
export const CallerOptions = Schema.Struct({
    /** Addresses of entries; each call goes to one of them at random. */
    entries: Schema.NonEmptyArray(Schema.String),
    classes: Schema.Array(CallClass),
    seed: Schema.Int,
    durationMs: Count,
    /** Calls that are due in this time are recorded, and left out of the histograms. */
    warmUpMs: Schema.optionalKey(Count),
    /** Calls that are unanswered this long after the last one was due are given up. */
    settleMs: Schema.optionalKey(Count),
    /** Sends at the due time to a few microseconds, at the cost of one busy core. */
    precise: Schema.optionalKey(Schema.Boolean),
});
