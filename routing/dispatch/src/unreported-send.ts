/** A request sent to a server that the server's load report does not count yet. */
export interface UnreportedSend {
    readonly sentAtMs: number;
    /** VM that sent it, undefined for this one. A hub leaves out the requests of the VM that asks for loads. */
    readonly vmId: string | undefined;
    /** End of a time for which a hub expects the request, because it has just recommended the server to this VM. */
    readonly expectedUntilMs?: number;
}
