import type { Destination } from "./destination.js";

/** Routing options that the operator declares for one host and path prefix. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    /** Whether a request may run more than once. */
    readonly isIdempotent: boolean;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** A response within this time counts as on time. */
    readonly latencyTargetMs: number;
    /** Maximum time until a request is answered. */
    readonly timeoutMs: number;
    /** Maximum number of backend servers to which one request is sent. */
    readonly maxAttempts: number;
    readonly destinations: readonly Destination[];
    /** Whether it needs no API key, where the configuration has tenants. */
    readonly isPublic?: boolean;
}
