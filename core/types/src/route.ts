import type { Destination } from "./destination.js";

/** What the operator declares for the requests of one host and path prefix. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    /** Whether a request may run more than once. */
    readonly isIdempotent: boolean;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** A response within this time is on time. */
    readonly latencyTargetMs: number;
    /** Longest time for which a request may be kept waiting. */
    readonly timeoutMs: number;
    /** Number of backend servers to which one request may be sent. */
    readonly maxAttempts: number;
    readonly destinations: readonly Destination[];
}
