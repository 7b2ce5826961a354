/** Log record of a decision about a request or a backend server. */
export interface DecisionRecord {
    readonly kind: string;
    readonly requestId?: string | undefined;
    readonly service?: string | undefined;
    readonly instanceId?: string | undefined;
    readonly reason?: string | undefined;
    /** Values that the decision was based on, with units in the names. */
    readonly inputs: Readonly<Record<string, number | string | boolean>>;
}
