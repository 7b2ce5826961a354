/** State of one backend server as known to this daemon. */
export interface BackendServerState {
    /** Revision of the state for which this copy was made. Only that reduction may still modify it. */
    readonly revision: number;
    readonly address: string;
    readonly vmId: string;
    readonly availabilityZone: string;
    readonly instanceId: string | undefined;
    /** Previous instances at this address, so that a late response from one is not mistaken for a new instance. */
    readonly formerInstanceIds: readonly string[];
    readonly listedLeaving: boolean;
    /** A new instance was seen while the VM list still said leaving, so the list refers to the previous instance. */
    readonly listedLeavingOutdated: boolean;
    /** `asOfMs` of the first VM list without this server. Absence counts only together with failed connections. */
    readonly absentSinceListMs: number | undefined;
    /** Instances known to be leaving. */
    readonly leavingInstanceIds: readonly string[];
    /** `asOfMs` of the VM list that was current when the latest leaving evidence arrived. */
    readonly leavingListAsOfMs: number | undefined;
    /** The VM list has contradicted the evidence for long enough: one repeatable request at a time may verify it. */
    readonly leavingContradicted: boolean;
    readonly ownInFlight: number;
    readonly slots: number;
    /** Requests from other senders in the latest load report. */
    readonly reportedOthersLoad: number;
    readonly reportedAtMs: number | undefined;
    /** Moving average of `reportedOthersLoad`. */
    readonly meanOthersLoad: number;
    /** Moving average of the time to a response. */
    readonly latencyMs: number | undefined;
    readonly latencyAtMs: number;
    readonly consecutiveFailures: number;
    /** Ejections since the last success. Each one doubles the ejection time. */
    readonly consecutiveEjections: number;
    readonly ejectedUntilMs: number | undefined;
    readonly coldUntilMs: number;
    readonly suspectUntilMs: number;
    /** Time of the last response, failure or probe. Probes go to the servers with the oldest time. */
    readonly lastObservedAtMs: number;
}
