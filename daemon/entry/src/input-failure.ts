/** Why nothing more is read from a caller's connection. */
export interface InputFailure {
    /** Kind of refused input in the log and the metrics. */
    readonly kind:
        | "caller-input-malformed"
        | "caller-input-head-too-large"
        | "caller-input-head-timeout"
        | "caller-input-body-timeout"
        | "caller-input-body-too-slow"
        | "caller-input-method-unsupported";
    readonly statusCode: number;
    readonly problem: string;
}
