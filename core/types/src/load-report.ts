/** Load that a backend server reports about itself. The report is already stale when it arrives. */
export interface LoadReport {
    readonly inFlight: number;
    readonly queued: number;
    readonly slots: number;
    /**
     * Current service time on the server's VM in percent of the normal time. Absent if the server does not report it.
     */
    readonly slownessPercent?: number | undefined;
    /** Time for which the server stays cold. Absent if the response does not state it. */
    readonly coldForMs?: number;
}
