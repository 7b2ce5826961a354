/** A backend server that may be chosen for one attempt, as this daemon sees it. */
export interface Candidate {
    readonly address: string;
    readonly availabilityZone: string;
    /** Whether the backend server is in this daemon's availability zone. */
    readonly sameZone: boolean;
    /** Requests that this daemon has in flight there. */
    readonly ownInFlight: number;
    /** Estimated requests of others there, running or queued. A fraction, because reports are stale. */
    readonly othersLoad: number;
    /** The part of `othersLoad` that load reports have proved to predict. Only this part makes a request wait. */
    readonly trustedOthersLoad: number;
    /** Requests that the backend server runs at the same time. */
    readonly slots: number;
    /** Moving average of its latency divided by the service's median of these averages. */
    readonly relativeLatency: number;
    /** A new instance in its slow start. */
    readonly cold: boolean;
    /** A straggler, a backend server on probation, or one that the VM list no longer has. */
    readonly suspect: boolean;
}
