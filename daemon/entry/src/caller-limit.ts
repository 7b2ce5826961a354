/** A limit on what callers may hold together, as the log and the metrics name it. */
export type CallerLimit =
    | "caller-memory-exhausted"
    | "caller-connections-exhausted"
    | "caller-requests-exhausted"
    | "caller-body-too-large"
    | "caller-response-unread";
