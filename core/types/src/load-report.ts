/** Load that a backend server reports about itself. It is already stale when it arrives. */
export interface LoadReport {
    readonly inFlight: number;
    readonly queued: number;
    readonly slots: number;
}
