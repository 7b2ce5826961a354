/** State of a request at the time of its cancellation. */
export type CancelState = "not-started" | "running" | "finished" | "never-seen";
