import type { LatenessTarget } from "./lateness-target.js";
import type { MatchRule } from "./match-rule.js";
import type { Urgency } from "./urgency.js";

/** Targets that operators declare for one class of work. */
export interface ClassTargets {
    readonly name: string;
    readonly service: string;
    readonly urgency: Urgency;
    readonly repeatable: boolean;
    readonly lateness: LatenessTarget;
    readonly turnedAwayAtMostPercent: number;
    readonly match: readonly MatchRule[];
}
