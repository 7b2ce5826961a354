import type { Decision } from "@marigoldstall/core.types";

/** A decision in the response to `explain.get`. */
export interface LoggedDecision {
    readonly concern: string;
    readonly wallMs: number;
    readonly decision: Decision;
}
