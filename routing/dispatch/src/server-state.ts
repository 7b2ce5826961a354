import type { BackendServer, LoadReport } from "@marigoldstall/core.types";
import type { PermitBucket } from "./permit-bucket.js";
import type { RequestLimit } from "./request-limit.js";
import type { UnreportedSend } from "./unreported-send.js";

/** What this daemon knows about one backend server. */
export interface ServerState {
    readonly server: BackendServer;
    readonly load: LoadReport | undefined;
    readonly measuredAtMs: number;
    readonly unreportedSends: readonly UnreportedSend[];
    /** Whether it was there when this VM started, or a request from any VM to it is known. */
    readonly isUsed: boolean;
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
    /** Until when it is slower than usual, by its registration or by what it stated later. */
    readonly coldUntilMs: number;
    /** When it last stated that in a response. */
    readonly warmUpStatedAtMs: number;
    /** When the latest probe was sent or failed; undefined after it was answered. */
    readonly probedAtMs: number | undefined;
    readonly requestLimit: RequestLimit;
    /** Whether it has said in a response that it is about to end. */
    readonly isLeaving: boolean;
    /** Until when it wants nothing from this VM, as it said when it rejected a request. */
    readonly backoffUntilMs: number;
    /** Until when this VM sends it no request, because its limit leaves no room. */
    readonly noPermitUntilMs: number;
    /** Permits that this VM can grant while its requests are limited; undefined until the first one was asked for. */
    readonly permitBucket: PermitBucket | undefined;
}
