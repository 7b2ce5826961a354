/** What this daemon knows of one backend server. */
export interface BackendServerState {
    /** Revision of the state in which this copy was made. Only that reduction may still write to it. */
    readonly revision: number;
    readonly address: string;
    readonly vmId: string;
    readonly availabilityZone: string;
    readonly instanceId: string | undefined;
    /** Instances seen earlier under this address, so that a late response of one is not taken for a new instance. */
    readonly formerInstanceIds: readonly string[];
    readonly listedLeaving: boolean;
    /** A new instance was seen while the VM list still said leaving, so the list speaks of the former one. */
    readonly listedLeavingOutdated: boolean;
    /** `asOfMs` of the first VM list without it. Absence counts only together with failed connections. */
    readonly absentSinceListMs: number | undefined;
    /** Instances known to be leaving. */
    readonly leavingInstanceIds: readonly string[];
    /** `asOfMs` of the VM list that was in force when the newest of this evidence arrived. */
    readonly leavingListAsOfMs: number | undefined;
    /** The VM list contradicts the evidence for long enough: one repeatable request at a time may find out. */
    readonly leavingDoubted: boolean;
    readonly ownInFlight: number;
    readonly slots: number;
    /** Requests of others in the newest load report. */
    readonly reportedOthers: number;
    readonly reportedAtMs: number | undefined;
    /** Moving average over the load reports. */
    readonly meanOthers: number;
    /** Moving average of the time to a response. */
    readonly latencyMs: number | undefined;
    readonly latencyAtMs: number;
    readonly consecutiveFailures: number;
    /** Ejections since the last success; each doubles the time. */
    readonly ejections: number;
    readonly ejectedUntilMs: number | undefined;
    readonly coldUntilMs: number;
    readonly suspectUntilMs: number;
    /** When anything was last learnt about the backend server. */
    readonly informedAtMs: number;
}
