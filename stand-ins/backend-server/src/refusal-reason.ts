/** Reason why a backend server did not run a request. */
export type RefusalReason = "shed" | "draining" | "deadline" | "cancelled" | "caller-gone" | "fail-fast" | "crashed";
