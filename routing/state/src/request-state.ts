import type { ClassTargets } from "@marigoldstall/core.types";
import type { AttemptState } from "./attempt-state.js";

/** A request that has not ended: it is queued, has attempts in flight, or its response is being relayed. */
export interface RequestState {
    readonly requestId: string;
    readonly classTargets: ClassTargets;
    readonly bodyReplayable: boolean;
    readonly callerAttempt: number;
    readonly arrivedAtMs: number;
    readonly deadlineAtMs: number;
    /** Order of arrival in the service, which breaks ties between equal deadlines in the queue. */
    readonly sequence: number;
    readonly phase: "queued" | "in-flight" | "relaying";
    readonly attempts: readonly AttemptState[];
    readonly attemptsStarted: number;
    readonly retries: number;
    /** Attempts that ended before a byte was sent and therefore do not count as retries. */
    readonly reselections: number;
    /** Whether the next attempt counts against the retry budget. */
    readonly nextAttemptIsRetry: boolean;
    /** Whether an attempt that has ended may have run the request. */
    readonly mayHaveRun: boolean;
    readonly triedAddresses: readonly string[];
    readonly hedgeAtMs: number | undefined;
    /** When to stop waiting for the result of the cancellation; set at the deadline of a non-repeatable request. */
    readonly cancellationDeadlineAtMs: number | undefined;
    readonly callerGone: boolean;
}
