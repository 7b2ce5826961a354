import type { Clock } from "./clock.js";

/** Options of {@link BackendPool}. */
export interface BackendPoolOptions {
    readonly address: string;
    readonly maxConnections: number;
    readonly clock: Clock;
    /** Idle time after which a connection is not reused, unless the server announced its own timeout. */
    readonly idleLimitMs?: number;
    readonly connectTimeoutMs?: number;
    /** Response header with the id of the instance. */
    readonly instanceIdHeader?: string;
    /** Called with the number of idle connections whenever it changes. */
    readonly onIdleChanged?: (idleConnections: number) => void;
    /** Called for each new connection. */
    readonly onOpened?: () => void;
}
