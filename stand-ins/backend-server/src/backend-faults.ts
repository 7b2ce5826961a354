import * as Schema from "effect/Schema";

const Count = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0));

/** Faults to inject into a backend server. A counter is decremented each time its fault is injected. */
export const BackendFaults = Schema.Struct({
    /** Factor by which service times are multiplied. */
    stragglerFactor: Schema.optionalKey(Schema.Number),
    /** Responds with 500 immediately, without running the request. */
    failFast: Schema.optionalKey(Schema.Boolean),
    /** Crashes after the next run has finished, before the response is sent. */
    crashAfterRun: Schema.optionalKey(Schema.Boolean),
    /** Delay of the response after the run has finished and its slot has been released. */
    lateAnswerMs: Schema.optionalKey(Count),
    /** Number of responses whose connection is closed in the middle of the body. */
    cutAnswers: Schema.optionalKey(Count),
    /** Number of responses whose bytes are sent twice on the same connection. */
    duplicateAnswers: Schema.optionalKey(Count),
    /** Number of responses that are not sent; the connection is closed after the run. */
    loseAnswers: Schema.optionalKey(Count),
    /** Age of the load in load reports. */
    reportLagMs: Schema.optionalKey(Count),
    /** Load to report instead of the actual load. */
    reportedLoad: Schema.optionalKey(Schema.Struct({ inFlight: Count, queued: Count })),
});
