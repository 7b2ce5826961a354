import type { AttemptFailure } from "@marigoldstall/routing.state";
import type { Attempt } from "./attempt.js";

/** Callbacks of an attempt. It ends with `onCompleted` or `onFailed`, or without a call when it was cancelled. */
export interface AttemptListener {
    /** Called when the response can be relayed. An attempt that the listener does not relay is cancelled. */
    readonly onResponded: (attempt: Attempt) => void;
    readonly onCompleted: (attempt: Attempt) => void;
    /** `connection-stale` means that no byte was sent, also because the request must no longer be sent. */
    readonly onFailed: (attempt: Attempt, failure: AttemptFailure) => void;
}
