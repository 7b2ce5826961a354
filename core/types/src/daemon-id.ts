/**
 * Identity of one run of a daemon. A restarted daemon has a new incarnation and does not inherit the rights of the old
 * one.
 */
export interface DaemonId {
    readonly vmId: string;
    readonly incarnation: string;
}
