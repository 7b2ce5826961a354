/** A member's question to the hub of its zone: which servers of a service suit a request. */
export interface LoadQuery {
    readonly type: "load-query";
    readonly vmId: string;
    readonly service: string;
    /** Expected duration of the request on a VM at normal speed, and size of its response. */
    readonly workMs: number;
    readonly responseBytes: number;
    /** Servers to which the member has idle connections, and whose load it wants to know in any case. */
    readonly connectedInstanceIds: readonly string[];
}
