/** What the run showed of the second version of the targets. */
export interface ConfigurationCheck {
    /** From the start of the tool to its report that the version is in force everywhere. */
    readonly inForceAfterMs: number | undefined;
    /** From the start of a VM during the log's outage to its readiness. */
    readonly newVmReadyAfterMs: number | undefined;
    /** Versions that the running daemons stated at the end. */
    readonly versionsAtEnd: readonly number[];
    readonly publishedVersion: number | undefined;
}
