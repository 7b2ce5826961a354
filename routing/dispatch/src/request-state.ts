import type { Route, Tenant } from "@marigoldstall/core.types";
import type { AttemptState } from "./attempt-state.js";

/** A request without a response so far. */
export interface RequestState {
    /** Unique in this daemon, unlike the id given by the caller. */
    readonly requestKey: string;
    readonly requestId: string;
    readonly path: string;
    /** Equal for requests that are the same but for their id. */
    readonly fingerprint: string;
    readonly route: Route;
    /** Tenant of the caller's API key. */
    readonly tenant: Tenant | undefined;
    /** Whether servers are told the tenant in place of the key that the caller sent. */
    readonly hidesApiKey: boolean;
    /** Whether it counts against the quota of its tenant; undefined until that is decided. */
    readonly usesQuota: boolean | undefined;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly service: string;
    readonly arrivedAtMs: number;
    /** A response up to this time meets the latency target. */
    readonly targetAtMs: number;
    /** A response after this time is of no use to the caller. */
    readonly deadlineAtMs: number;
    readonly attempts: readonly AttemptState[];
    /** Number of servers that the request reached or may have reached. */
    readonly sentCount: number;
    readonly unsentCount: number;
    /** Number of preflight checks for this request. */
    readonly checkCount: number;
    /** Servers that are not tried again. */
    readonly triedInstanceIds: readonly string[];
    /** Whether a server may have run the request. */
    readonly mayHaveRun: boolean;
    readonly callerLeft: boolean;
}
