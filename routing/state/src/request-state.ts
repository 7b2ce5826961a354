import type { ClassTargets } from "@marigoldstall/core.types";
import type { AttemptState } from "./attempt-state.js";

/** A request that has not ended. It is in the queue, or has attempts in flight, or its response is being relayed. */
export interface RequestState {
    readonly requestId: string;
    readonly classTargets: ClassTargets;
    readonly bodyReplayable: boolean;
    readonly callerAttempt: number;
    readonly arrivedAtMs: number;
    readonly deadlineAtMs: number;
    /** Order of arrival in the service, which orders equal deadlines in the queue. */
    readonly sequence: number;
    readonly phase: "queued" | "in-flight" | "relaying";
    readonly attempts: readonly AttemptState[];
    readonly attemptsStarted: number;
    readonly retries: number;
    /** Attempts that ended before a byte was sent and so are no retries. */
    readonly reselections: number;
    /** Whether the next attempt counts against the retry budget. */
    readonly retrying: boolean;
    /** Whether an ended attempt may have run. */
    readonly mayHaveRun: boolean;
    readonly triedAddresses: readonly string[];
    readonly hedgeAtMs: number | undefined;
    /** Set at the deadline of a non-repeatable request, while the result of its cancellation is awaited. */
    readonly giveUpAtMs: number | undefined;
    readonly callerGone: boolean;
}
