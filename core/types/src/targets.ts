import type { ClassTargets } from "./class-targets.js";
import type { ProbeBudget } from "./probe-budget.js";

/** Configuration that operators publish. */
export interface Targets {
    readonly site: string;
    readonly measuring: ProbeBudget;
    readonly classes: readonly ClassTargets[];
}
