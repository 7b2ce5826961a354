import type { Decision } from "@marigoldstall/core.types";

/** A decision with the concern that it belongs to and the time at which it was taken. */
export interface LoggedDecision {
    /** Last part of the `debug` namespace, such as `routing`. */
    readonly concern: string;
    readonly wallMs: number;
    readonly decision: Decision;
}
