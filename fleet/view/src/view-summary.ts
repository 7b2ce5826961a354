import type { Confirmation } from "./confirmation.js";
import type { RegistrationChange } from "./registration-change.js";

/** Summary of the sender's view in a datagram. */
export interface ViewSummary {
    /** Offset after the last registration change in the sender's view. Undefined if the sender has no view. */
    readonly nextOffset: number | undefined;
    /** A view that has reached this offset needs only `changes` to reach `nextOffset`. */
    readonly baseOffset: number;
    readonly changes: readonly RegistrationChange[];
    readonly ageMs: number;
    readonly confirmation: Confirmation | undefined;
    /** 0 if the sender has no configuration. */
    readonly configurationVersion: number;
    readonly configurationAgeMs: number;
    readonly configurationConfirmation: Confirmation | undefined;
}
