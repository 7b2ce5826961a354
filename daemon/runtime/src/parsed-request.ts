import type { ClassTargets } from "@marigoldstall/core.types";

/** The parts of a request's headers that the daemon acts on. */
export interface ParsedRequest {
    readonly targets: ClassTargets;
    /** Path and query below the service, as the backend server gets it. */
    readonly path: string;
    readonly idempotencyKey: string | undefined;
    readonly callerAttempt: number;
    readonly timeoutMs: number;
}
