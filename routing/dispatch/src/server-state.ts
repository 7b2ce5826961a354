import type { BackendServer, LoadReport } from "@marigoldstall/core.types";

/** What this daemon knows of one backend server. */
export interface ServerState {
    readonly server: BackendServer;
    readonly load: LoadReport | undefined;
    readonly measuredAtMs: number;
    /** Requests of any VM that the load report does not count yet, by the time at which they were sent. */
    readonly sendings: readonly number[];
    /** Drawn once, from 0 to 1; this VM chooses servers with a low one before others that are as good. */
    readonly preference: number;
    readonly ownInFlight: number;
    readonly idleConnections: number;
    /** Recent failures, fading with time. */
    readonly failures: number;
    readonly failuresAtMs: number;
    readonly failuresInRow: number;
    readonly ejections: number;
    readonly ejectedUntilMs: number;
    readonly isUnhealthy: boolean;
    readonly coldUntilMs: number;
    /** When a health check was sent, while its answer is awaited. */
    readonly probedAtMs: number | undefined;
}
