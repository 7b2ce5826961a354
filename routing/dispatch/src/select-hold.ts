import type { ServerCrash } from "@marigoldstall/core.types";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { SuspectRequest } from "./suspect-request.js";

interface Hold {
    /** The servers that ended under the request since it last ran to its end. */
    readonly crashes: readonly ServerCrash[];
    /** Until when it is sent to no server; in the past if it may be sent. */
    readonly untilMs: number;
}

/** Decides from the servers that ended under a request until when it is held back. */
export const selectHold = (suspect: SuspectRequest): Hold => {
    const crashes = suspect.crashes.filter(({ atMs }) => atMs > suspect.completedAtMs);
    const excess = crashes.length - DISPATCH_LIMITS.crashesBeforeHold;
    const lastCrashAtMs = crashes.at(-1)?.atMs ?? -Infinity;
    const holdMs = Math.min(DISPATCH_LIMITS.maxRequestHoldMs, DISPATCH_LIMITS.requestHoldMs * 2 ** excess);
    return { crashes, untilMs: excess < 0 ? -Infinity : lastCrashAtMs + holdMs };
};
