/** What a caller was told about the execution of its call; `no-answer` when it was told nothing. */
export type CallOutcome = "completed" | "not-run" | "unknown" | "no-answer";
