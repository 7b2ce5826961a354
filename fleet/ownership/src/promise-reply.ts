import type { DaemonId } from "@marigoldstall/core.types";

/** A guardian's answer: the bounds that it promises, without the shares that it refuses. */
export interface PromiseReply {
    readonly guardian: DaemonId;
    /** Lets an owner distinguish a refusal due to its own older configuration from a lost guardian. */
    readonly configurationVersion: number;
    readonly promises: readonly {
        readonly share: number;
        readonly term: number;
        readonly boundMs: number;
    }[];
}
