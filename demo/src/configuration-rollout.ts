/** Rollout of the second version of the targets. */
export interface ConfigurationRollout {
    /** Time from the start of the command-line tool until it reports that the version is in force everywhere. */
    readonly inForceAfterMs: number | undefined;
    /** Time from the start of a VM during an outage of the log until it is ready. */
    readonly newVmReadyAfterMs: number | undefined;
    /** Versions that the running daemons reported at the end. */
    readonly finalVersions: readonly number[];
    readonly publishedVersion: number | undefined;
}
