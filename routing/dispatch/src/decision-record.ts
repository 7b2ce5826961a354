/** A decision about a request or a backend server, for the log. */
export interface DecisionRecord {
    readonly kind: string;
    readonly requestId?: string | undefined;
    readonly service?: string | undefined;
    readonly instanceId?: string | undefined;
    readonly reason?: string | undefined;
    /** What decided it, each with its unit in the name. */
    readonly inputs: Readonly<Record<string, number | string | boolean>>;
}
