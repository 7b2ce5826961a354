/** Load that a backend server reports about itself. It is already stale when it arrives. */
export interface LoadReport {
    readonly inFlight: number;
    readonly queued: number;
    readonly slots: number;
    /** How long work takes on the server's VM at this moment, 100 being the usual time; absent where it is not told. */
    readonly slownessPercent?: number | undefined;
}
