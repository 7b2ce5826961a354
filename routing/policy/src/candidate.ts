/** A backend server that may be chosen for an attempt, as seen by this daemon. */
export interface Candidate {
    readonly address: string;
    readonly availabilityZone: string;
    /** Whether it is in this daemon's availability zone. */
    readonly sameZone: boolean;
    /** Number of requests that this daemon has in flight there. */
    readonly ownInFlight: number;
    /** Estimated number of other daemons' requests there, running or queued. Fractional, as load reports are stale. */
    readonly othersLoad: number;
    /** The part of `othersLoad` that load reports have predicted reliably. Only this part makes a request wait. */
    readonly trustedOthersLoad: number;
    /** Number of requests that the backend server runs concurrently. */
    readonly slots: number;
    /** Moving average of its latency, relative to the median of these averages in the service. */
    readonly relativeLatency: number;
    /** Whether it is a new instance in slow start. */
    readonly cold: boolean;
    /** Whether it is a straggler, on probation, or missing from the VM list. */
    readonly suspect: boolean;
}
