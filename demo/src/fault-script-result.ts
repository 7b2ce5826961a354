import type { SiteDaemon } from "@marigoldstall-private/sites";

/** Faults that the script injected and times that it measured, as input for the check of the guarantees. */
export interface FaultScriptResult {
    readonly killedDaemon: SiteDaemon;
    /** Unix milliseconds. */
    readonly killedAtMs: number;
    readonly stoppedDaemon: SiteDaemon;
    readonly leavingVmId: string;
    readonly inForceAfterMs: number | undefined;
    readonly newVmReadyAfterMs: number | undefined;
}
