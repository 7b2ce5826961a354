import type { DaemonId } from "@marigoldstall/core.types";

/** A guardian's answer: the bounds that it promises, or nothing for the shares that it refuses. */
export interface PromiseReply {
    readonly guardian: DaemonId;
    /** Lets an owner with an older configuration tell its own lag from a lost guardian. */
    readonly configurationVersion: number;
    readonly promises: readonly {
        readonly share: number;
        readonly term: number;
        readonly boundMs: number;
    }[];
}
