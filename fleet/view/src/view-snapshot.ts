import type { Confirmation } from "./confirmation.js";
import type { RegistrationChange } from "./registration-change.js";

/** The complete list of registrations as of an offset of the topic. */
export interface ViewSnapshot {
    readonly nextOffset: number;
    readonly registrations: readonly RegistrationChange[];
    /** Time since the last read that showed that the store had nothing newer. */
    readonly ageMs: number;
    readonly confirmation: Confirmation | undefined;
}
