/** A backend server according to its latest registration. */
export interface BackendServer {
    readonly instanceId: string;
    /**
     * Start time of the process. A new value for the same id means a new process, which has no record of earlier
     * requests.
     */
    readonly startedAtUnixMs: number;
    readonly service: string;
    readonly address: string;
    readonly availabilityZone: string;
    readonly slots: number;
    readonly isDraining: boolean;
    /** Remaining time for which the server is slow after its start, as of when the registration was written. */
    readonly warmUpMs: number;
}
