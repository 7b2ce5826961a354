import type { AnswerCheck } from "./answer-check.js";
import type { CallOutcome } from "./call-outcome.js";

/** One call that was sent. */
export interface CallRecord {
    readonly className: string;
    readonly repeatable: boolean;
    /** Unique value in the query, the same in both copies of a call. */
    readonly nonce: string;
    readonly idempotencyKey: string | undefined;
    /** 0, or 1 for the second copy of a call. */
    readonly copy: number;
    readonly entry: string;
    /** Unix milliseconds at which the call was due. */
    readonly dueAtMs: number;
    readonly sentAtMs: number;
    /** From the time at which the call was due to the end of the answer. */
    readonly latencyMs: number;
    readonly warmUp: boolean;
    readonly outcome: CallOutcome;
    readonly status: number | undefined;
    readonly reason: string | undefined;
    readonly requestId: string | undefined;
    readonly answer: AnswerCheck;
    readonly errorCode: string | undefined;
    readonly connectionReused: boolean;
}
