import * as Schema from "effect/Schema";

const Count = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0));

/** Faults of the log, for one stream or for all. Counts go down by one with each use. */
export const LogFaults = Schema.Struct({
    /** `refuse` answers 503, `drop` closes the connection without an answer. */
    outage: Schema.optionalKey(Schema.Literals(["refuse", "drop"])),
    /** Delay of each answer. An append takes effect before the delay. */
    slowMs: Schema.optionalKey(Count),
    /** Number of appends that take effect and whose connection is then closed without an answer. */
    loseAppendAnswers: Schema.optionalKey(Count),
    /** Number of appends that are answered 503 and take no effect. */
    refuseAppends: Schema.optionalKey(Count),
    /** Number of appends whose connection is closed before they take effect. */
    dropAppends: Schema.optionalKey(Count),
    /** Reads start this many records before the offset asked for. */
    repeatRecords: Schema.optionalKey(Count),
    /** Removes, once, all records below this offset. */
    cutBelowOffset: Schema.optionalKey(Count),
});
