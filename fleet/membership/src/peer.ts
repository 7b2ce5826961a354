/** Another daemon, as known from the VM list and from heartbeats. */
export interface Peer {
    readonly vmId: string;
    readonly address: string;
    readonly availabilityZone: string;
    /** Undefined until a heartbeat of the peer or of another daemon states it. */
    readonly incarnation: string | undefined;
    readonly beat: number;
    /** Time when the beat counter last increased. */
    readonly beatAtMs: number | undefined;
    /** Whether the newest plausible VM list contains it. */
    readonly listed: boolean;
    /** Whether the VM list reports the VM as leaving. */
    readonly leaving: boolean;
    /** Whether this incarnation announced its own shutdown. */
    readonly stopping: boolean;
    readonly configurationVersion: number;
    readonly firstSeenAtMs: number;
}
