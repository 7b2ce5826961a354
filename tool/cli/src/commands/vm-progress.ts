/** Whether a version is in force at a VM that the tool waits for. */
export interface VmProgress {
    readonly vmId: string;
    readonly version: number | undefined;
    readonly inForce: boolean;
    /** Time from the start of the wait until the version was first seen in force. */
    readonly afterMs: number | undefined;
    /** Why the version at the daemon is unknown. */
    readonly error: string | undefined;
}
