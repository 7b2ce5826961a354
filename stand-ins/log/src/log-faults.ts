import * as Schema from "effect/Schema";

const Count = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0));

/** Faults to inject into one stream or all streams. A counter is decremented each time its fault is injected. */
export const LogFaults = Schema.Struct({
    /** `refuse` responds with 503, `drop` closes the connection without a response. */
    outage: Schema.optionalKey(Schema.Literals(["refuse", "drop"])),
    /** Delay before each response. An append is stored before the delay. */
    slowMs: Schema.optionalKey(Count),
    /** Number of appends that are stored and whose connection is then closed without a response. */
    loseAppendAnswers: Schema.optionalKey(Count),
    /** Number of appends that get a 503 and are not stored. */
    refuseAppends: Schema.optionalKey(Count),
    /** Number of appends that are not stored and whose connection is closed without a response. */
    dropAppends: Schema.optionalKey(Count),
    /** Reads start this many records before the requested offset. */
    repeatRecords: Schema.optionalKey(Count),
    /**
     * Restores the stream or streams once, from a copy of this age: later records are removed, their offsets are
     * given out again, and the era of all streams rises by one.
     */
    restoreAgeMs: Schema.optionalKey(Count),
    /** Removes all records below this offset once, when the faults are set. */
    cutBelowOffset: Schema.optionalKey(Count),
});
