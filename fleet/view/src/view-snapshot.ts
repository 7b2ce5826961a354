import type { Confirmation } from "./confirmation.js";
import type { RegistrationChange } from "./registration-change.js";

/** A registration that the sender withholds after a restore of the store. */
interface WithheldRegistration extends RegistrationChange {
    readonly remainingMs: number;
}

/** The complete list of registrations as of an offset of the topic. */
export interface ViewSnapshot {
    readonly era: number;
    readonly nextOffset: number;
    readonly registrations: readonly RegistrationChange[];
    readonly withheld: readonly WithheldRegistration[];
    /** Time since the last read that showed that the store had nothing newer. */
    readonly ageMs: number;
    readonly confirmation: Confirmation | undefined;
}
