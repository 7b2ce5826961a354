import type { Urgency } from "@marigoldstall/core.types";
import type { Candidate } from "./candidate.js";

/** Input of a {@link SelectionPolicy}. */
export interface SelectionInput {
    readonly candidates: readonly Candidate[];
    readonly urgency: Urgency;
    /** Whether patient requests have to leave one slot of each backend server free for more urgent ones. */
    readonly reserveSlot: boolean;
    /** Whether the request has waited so long that the load estimates must be wrong. */
    readonly overdue: boolean;
    /** Uniform random number in [0, 1). */
    readonly random: number;
    /** Number of selections made for this service so far. */
    readonly cursor: number;
}
