/** Status of one backend server. */
export interface BackendServerStatus {
    readonly service: string;
    readonly address: string;
    readonly vmId: string;
    readonly availabilityZone: string;
    readonly instanceId: string | undefined;
    readonly condition: "usable" | "cold" | "straggler" | "ejected" | "probation" | "leaving" | "absent";
    readonly ownInFlight: number;
    readonly othersLoad: number;
    readonly slots: number;
    readonly latencyMs: number | undefined;
    /** Age of the latest load report; undefined when there is none. */
    readonly reportAgeMs: number | undefined;
    readonly consecutiveFailures: number;
}
