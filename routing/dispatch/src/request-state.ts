import type { Route } from "@marigoldstall/core.types";
import type { AttemptState } from "./attempt-state.js";

/** A request that has no answer yet. */
export interface RequestState {
    /** Unique in this daemon, unlike the id that the caller gave. */
    readonly requestKey: string;
    readonly requestId: string;
    readonly route: Route;
    readonly service: string;
    readonly arrivedAtMs: number;
    /** A response by then is on time. */
    readonly targetAtMs: number;
    /** No response is of use after that. */
    readonly deadlineAtMs: number;
    readonly attempts: readonly AttemptState[];
    /** Servers that the request reached or may have reached. */
    readonly sentCount: number;
    readonly unsentCount: number;
    /** Servers that were asked for their load before a sending. */
    readonly checkCount: number;
    /** Servers that are not chosen again. */
    readonly triedInstanceIds: readonly string[];
    /** A server may have run it. */
    readonly mayHaveRun: boolean;
    readonly callerLeft: boolean;
}
