import type { Decision } from "@marigoldstall/core.types";

/** A decision as a daemon returns it for `explain`. */
export interface LoggedDecision {
    readonly concern: string;
    readonly wallMs: number;
    readonly decision: Decision;
}
