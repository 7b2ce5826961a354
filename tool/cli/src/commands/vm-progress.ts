/** How far a version has come at one VM. */
export interface VmProgress {
    readonly vmId: string;
    readonly version: number | undefined;
    readonly inForce: boolean;
    /** Time since the wait began, when the version was first seen in force. */
    readonly afterMs: number | undefined;
    /** Why the daemon's version is not known. */
    readonly error: string | undefined;
}
