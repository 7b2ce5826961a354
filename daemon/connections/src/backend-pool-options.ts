import type { Clock } from "./clock.js";

/** Options of {@link BackendPool}. */
export interface BackendPoolOptions {
    readonly address: string;
    readonly maxConnections: number;
    readonly clock: Clock;
    /** How long a connection may be idle before it is not used again, unless the server says how long it keeps it. */
    readonly idleLimitMs?: number;
    readonly connectTimeoutMs?: number;
    /** Response header that names the instance. */
    readonly instanceIdHeader?: string;
    /** Called with the number of idle connections when it changes. */
    readonly onIdleChanged?: (idleConnections: number) => void;
    /** Called for each connection that was opened. */
    readonly onOpened?: () => void;
}
