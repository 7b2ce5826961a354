/** A guardian's answer: the bounds that it promises, or nothing for the shares that it refuses. */
export interface PromiseReply {
    readonly promises: readonly {
        readonly share: number;
        readonly term: number;
        readonly boundMs: number;
    }[];
}
