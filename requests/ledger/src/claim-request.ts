import type { DaemonId } from "@marigoldstall/core.types";

/** An entry daemon's request to the owner of a key to let it run the request. */
export interface ClaimRequest {
    readonly service: string;
    readonly key: string;
    readonly fingerprint: string;
    readonly requestId: string;
    readonly runner: DaemonId;
    /** Time until the request's deadline. Later the owner reports a key that was not settled as `unknown`. */
    readonly remainingMs: number;
}
