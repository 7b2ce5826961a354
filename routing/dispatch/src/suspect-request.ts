import type { ServerCrash } from "@marigoldstall/core.types";

/** A request under which servers have ended, and that has not run to its end anywhere since. */
export interface SuspectRequest {
    readonly fingerprint: string;
    /** One entry for each start of a server, the oldest first. */
    readonly crashes: readonly ServerCrash[];
    /** When a server last ran it to its end. Earlier crashes do not count. */
    readonly completedAtMs: number;
}
