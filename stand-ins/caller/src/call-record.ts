import type { CallOutcome } from "./call-outcome.js";
import type { ResponseCheck } from "./response-check.js";

/** Record of one call. */
export interface CallRecord {
    readonly className: string;
    readonly repeatable: boolean;
    /** Unique value in the query, shared by both copies of a call. */
    readonly nonce: string;
    readonly idempotencyKey: string | undefined;
    /** 0 for the first copy of a call, 1 for the second. */
    readonly copy: number;
    readonly entry: string;
    /** Scheduled send time in Unix milliseconds. */
    readonly dueAtMs: number;
    readonly sentAtMs: number;
    /** Time from the scheduled send time to the end of the response. */
    readonly latencyMs: number;
    readonly warmUp: boolean;
    readonly outcome: CallOutcome;
    readonly status: number | undefined;
    readonly reason: string | undefined;
    readonly requestId: string | undefined;
    readonly answer: ResponseCheck;
    readonly errorCode: string | undefined;
    readonly connectionReused: boolean;
}
