/** What is known about another daemon. */
export interface Peer {
    readonly vmId: string;
    readonly address: string;
    readonly availabilityZone: string;
    /** Undefined until the peer, or another daemon, has told it. */
    readonly incarnation: string | undefined;
    readonly beat: number;
    /** When the beat counter last rose. */
    readonly beatAtMs: number | undefined;
    /** Whether the newest believable VM list names it. */
    readonly listed: boolean;
    /** The VM list says that the VM is leaving. */
    readonly leaving: boolean;
    /** This incarnation said itself that it is shutting down. */
    readonly stopping: boolean;
    readonly configurationVersion: number;
    readonly firstSeenAtMs: number;
}
