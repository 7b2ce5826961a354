import type { RefusalReason } from "./refusal-reason.js";

/** A request as the executor sees it. */
export interface Job {
    readonly requestId: string;
    /** Monotonic time after which it may not start. */
    readonly deadlineAtMs: number | undefined;
    /** Called when a slot takes the job; returns how long it runs. */
    readonly onStart: () => number;
    readonly onFinish: () => void;
    /** The run was ended early. */
    readonly onStopped: () => void;
    /** The job will not run. */
    readonly onRefused: (reason: RefusalReason) => void;
}
