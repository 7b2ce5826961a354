import type { ClassTargets } from "@marigoldstall/core.types";

/** Parameters of a request that the daemon takes from its request line and headers. */
export interface ParsedRequest {
    readonly targets: ClassTargets;
    /** Path and query without the service segment, as sent to the backend server. */
    readonly path: string;
    readonly idempotencyKey: string | undefined;
    readonly callerAttempt: number;
    readonly timeoutMs: number;
}
