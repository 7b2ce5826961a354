/** Outcome of a call as reported by the response; `no-answer` when there was no complete response. */
export type CallOutcome = "completed" | "not-run" | "unknown" | "no-answer";
