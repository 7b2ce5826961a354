import type { RefusalReason } from "./refusal-reason.js";

/** Request submitted to the {@link Executor}. */
export interface Job {
    readonly requestId: string;
    /** Time on the monotonic clock after which the job must not start. */
    readonly deadlineAtMs: number | undefined;
    /** Called when the job starts to run in a slot. Returns the service time in milliseconds. */
    readonly onStart: () => number;
    readonly onFinish: () => void;
    /** Called when the run is stopped early. */
    readonly onStopped: () => void;
    /** Called when the job is refused without running. */
    readonly onRefused: (reason: RefusalReason) => void;
}
