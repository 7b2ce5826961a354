/** A routing or placement decision, written as one log line and kept for `marigoldstall explain`. */
export interface Decision {
    readonly kind: string;
    readonly requestId: string | undefined;
    readonly service: string | undefined;
    readonly className: string | undefined;
    readonly candidates: readonly string[];
    readonly choice: string | undefined;
    readonly reason: string;
}
