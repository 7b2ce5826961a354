/** Asks for permission to send one request to a server that limits its requests. */
export interface PermitQuery {
    readonly type: "permit-query";
    readonly attemptId: string;
    readonly instanceId: string;
}
