import type { ClassTargets } from "./class-targets.js";
import type { MeasuringBudget } from "./measuring-budget.js";

/** Everything that operators publish. */
export interface Targets {
    readonly site: string;
    readonly measuring: MeasuringBudget;
    readonly classes: readonly ClassTargets[];
}
