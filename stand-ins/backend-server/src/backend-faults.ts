import * as Schema from "effect/Schema";

const Count = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0));

/** Faults of a backend server. Counts go down by one with each use. */
export const BackendFaults = Schema.Struct({
    /** Service times are multiplied by this. */
    stragglerFactor: Schema.optionalKey(Schema.Number),
    /** Answers 500 at once, without running the request. */
    failFast: Schema.optionalKey(Schema.Boolean),
    /** Crashes when the next run has finished, before it is answered. */
    crashAfterRun: Schema.optionalKey(Schema.Boolean),
    /** Answers are late by this much after the run has finished and its slot is free. */
    lateAnswerMs: Schema.optionalKey(Count),
    /** Number of answers that end in the middle of the body with the connection closed. */
    cutAnswers: Schema.optionalKey(Count),
    /** Number of answers whose bytes are sent a second time on the same connection. */
    duplicateAnswers: Schema.optionalKey(Count),
    /** Number of answers that are never sent, with the connection closed after the run. */
    loseAnswers: Schema.optionalKey(Count),
    /** The reported load is that of this long ago. */
    reportLagMs: Schema.optionalKey(Count),
    /** The reported load, whatever the load is. */
    reportedLoad: Schema.optionalKey(Schema.Struct({ inFlight: Count, queued: Count })),
});
