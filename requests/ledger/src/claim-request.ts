import type { DaemonId } from "@marigoldstall/core.types";

/** Asks the owner of a key to grant the runner, an entry daemon, the right to run a request with this key. */
export interface ClaimRequest {
    readonly service: string;
    readonly key: string;
    readonly fingerprint: string;
    readonly requestId: string;
    readonly runner: DaemonId;
    /** Time until the request's deadline. After it and a grace period, the owner reports an unsettled key as `unknown`. */
    readonly remainingMs: number;
}
