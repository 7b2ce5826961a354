import type { Verdict } from "./verdict.js";

/** One promise of the design page's section 1, and what the run showed of it. */
export interface PromiseResult {
    readonly number: number;
    readonly title: string;
    readonly verdict: Verdict;
    readonly detail: string;
}
