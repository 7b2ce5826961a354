/**
 * What is known about the execution of a request. `not-run` and `completed` are certain; `unknown` means that the
 * request may have run.
 */
export type Outcome = "completed" | "not-run" | "unknown";
