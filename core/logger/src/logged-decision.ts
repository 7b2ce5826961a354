import type { Decision } from "@marigoldstall/core.types";

/** A decision with its concern and the time at which it was made. */
export interface LoggedDecision {
    /** Last part of the `debug` namespace, such as `routing`. */
    readonly concern: string;
    readonly wallMs: number;
    readonly decision: Decision;
}
