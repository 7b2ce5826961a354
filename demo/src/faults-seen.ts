import type { SiteDaemon } from "@marigoldstall-private/sites";

/** What the script did to the site, as far as the check of the promises needs it. */
export interface FaultsSeen {
    readonly killed: SiteDaemon;
    /** Unix milliseconds. */
    readonly killedAtMs: number;
    readonly stopped: SiteDaemon;
    readonly leavingVmId: string;
    readonly inForceAfterMs: number | undefined;
    readonly newVmReadyAfterMs: number | undefined;
}
