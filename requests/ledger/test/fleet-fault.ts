/** One fault of a scenario. `target` and `other` number the daemons. */
export interface FleetFault {
    readonly kind:
        | "pause"
        | "kill"
        | "stop"
        | "log-down"
        | "log-lossy"
        | "log-partition"
        | "partition"
        | "network-lossy"
        | "clock-jump"
        | "fleet-down"
        | "snapshots-lost";
    readonly fromMs: number;
    readonly forMs: number;
    readonly target: number;
    readonly other: number;
}
