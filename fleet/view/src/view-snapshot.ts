import type { Confirmation } from "./confirmation.js";
import type { RegistrationChange } from "./registration-change.js";

/** The whole list of registrations, as of an offset of its topic. */
export interface ViewSnapshot {
    readonly nextOffset: number;
    readonly registrations: readonly RegistrationChange[];
    /** How long ago the store confirmed that nothing newer existed. */
    readonly ageMs: number;
    readonly confirmation: Confirmation | undefined;
}
