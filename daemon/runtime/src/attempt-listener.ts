import type { AttemptFailure } from "@marigoldstall/routing.state";
import type { Attempt } from "./attempt.js";

/** Receives what happens to an attempt. It ends with `completed` or `failed`, or silently when it was cancelled. */
export interface AttemptListener {
    /** Response headers arrived; the listener relays the response or leaves it to be read to its end. */
    readonly responded: (attempt: Attempt) => void;
    readonly completed: (attempt: Attempt) => void;
    /** `connection-stale` also stands for a request that must not be sent any more: no byte was sent. */
    readonly failed: (attempt: Attempt, failure: AttemptFailure) => void;
}
