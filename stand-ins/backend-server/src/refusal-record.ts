import type { RefusalReason } from "./refusal-reason.js";

/** Record of a request that a backend server received and did not run. */
export interface RefusalRecord {
    readonly requestId: string;
    readonly idempotencyKey: string | undefined;
    readonly instanceId: string;
    readonly atMs: number;
    readonly reason: RefusalReason;
}
