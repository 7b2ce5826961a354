import type { LatencyTarget } from "./latency-target.js";
import type { MatchRule } from "./match-rule.js";
import type { Urgency } from "./urgency.js";

/** Targets that operators declare for one class of requests. */
export interface ClassTargets {
    readonly name: string;
    readonly service: string;
    readonly urgency: Urgency;
    readonly repeatable: boolean;
    readonly lateness: LatencyTarget;
    readonly turnedAwayAtMostPercent: number;
    readonly match: readonly MatchRule[];
}
