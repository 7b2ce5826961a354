import type { ServerCrash } from "@marigoldstall/core.types";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { SuspectRequest } from "./suspect-request.js";

const isSameStart = (one: ServerCrash, other: ServerCrash): boolean =>
    one.instanceId === other.instanceId && one.startedAtUnixMs === other.startedAtUnixMs;

/** Combines what two VMs know about a request. Several requests that one server had when it ended count once. */
export const mergeSuspect = (known: SuspectRequest | undefined, learned: SuspectRequest): SuspectRequest => {
    if (known === undefined) {
        return learned;
    }
    const added = learned.crashes.filter(crash => !known.crashes.some(other => isSameStart(crash, other)));
    const completedAtMs = Math.max(known.completedAtMs, learned.completedAtMs);
    if (added.length === 0 && completedAtMs === known.completedAtMs) {
        return known;
    }
    const crashes = [...known.crashes, ...added]
        .sort((a, b) => a.atMs - b.atMs)
        .slice(-DISPATCH_LIMITS.maxCrashesPerSuspect);
    return { fingerprint: known.fingerprint, crashes, completedAtMs };
};
