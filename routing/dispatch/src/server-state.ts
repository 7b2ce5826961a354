import type { BackendServer, LoadReport } from "@marigoldstall/core.types";

/** What this daemon knows about one backend server. */
export interface ServerState {
    readonly server: BackendServer;
    readonly load: LoadReport | undefined;
    readonly measuredAtMs: number;
    /** Send times of requests, from any VM, that the load report does not count yet. */
    readonly unreportedSendsAtMs: readonly number[];
    /** Random number from 0 to 1, drawn once. Among equal servers, this VM chooses one with a low value. */
    readonly preference: number;
    readonly ownInFlight: number;
    readonly idleConnections: number;
    /** Recent failures, decayed up to `failuresAtMs`. */
    readonly failures: number;
    readonly failuresAtMs: number;
    readonly failuresInRow: number;
    readonly ejections: number;
    readonly ejectedUntilMs: number;
    readonly isUnhealthy: boolean;
    readonly coldUntilMs: number;
    /** When the latest probe was sent or failed; undefined after it was answered. */
    readonly probedAtMs: number | undefined;
}
