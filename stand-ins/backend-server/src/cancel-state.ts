/** Answer to a cancellation. */
export type CancelState = "not-started" | "running" | "finished" | "never-seen";
