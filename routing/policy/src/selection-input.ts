import type { Urgency } from "@marigoldstall/core.types";
import type { Candidate } from "./candidate.js";

/** What a {@link SelectionPolicy} decides on. */
export interface SelectionInput {
    readonly candidates: readonly Candidate[];
    readonly urgency: Urgency;
    /** Whether patient work has to leave one slot of each backend server to more urgent work. */
    readonly reserveSlot: boolean;
    /** Whether the request has waited so long that the estimates of the load must be wrong. */
    readonly overdue: boolean;
    /** A number in [0, 1). */
    readonly random: number;
    /** Selections made for this service so far. */
    readonly cursor: number;
}
