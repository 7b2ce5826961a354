/** Identity of one run of a daemon. A restarted daemon has a new incarnation and none of the former's rights. */
export interface DaemonId {
    readonly vmId: string;
    readonly incarnation: string;
}
