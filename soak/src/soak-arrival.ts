/** A request that arrived at a backend server. */
export interface SoakArrival {
    readonly requestId: string;
    /** VM to which the caller sent it. */
    readonly vmId: string;
    readonly instanceId: string;
    readonly atMs: number;
    /** Since when that VM had run without a stop, kill or pause. */
    readonly vmSteadySinceMs: number;
}
