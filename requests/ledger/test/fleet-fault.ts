/** A fault of a scenario. `peerIndex` is the other daemon of a partition. */
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
        | "snapshots-lost"
        /** The log loses what was appended in the last `durationMs`. */
        | "log-restored";
    readonly fromMs: number;
    readonly durationMs: number;
    readonly daemonIndex: number;
    readonly peerIndex: number;
}
