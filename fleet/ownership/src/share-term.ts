import type { DaemonId } from "@marigoldstall/core.types";

/** One term of a share, as folded from the log. `boundMs` is the highest bound recorded in the log. */
export interface ShareTerm {
    readonly share: number;
    readonly term: number;
    readonly owner: DaemonId;
    readonly guardian: DaemonId | undefined;
    readonly fromMs: number;
    readonly capMs: number;
    readonly boundMs: number;
}
