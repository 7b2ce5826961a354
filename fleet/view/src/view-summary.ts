import type { Confirmation } from "./confirmation.js";
import type { RegistrationChange } from "./registration-change.js";

/** What a datagram says of its sender's view. */
export interface ViewSummary {
    /** Registrations are known up to this offset; absent when the sender knows none. */
    readonly nextOffset: number | undefined;
    /** A view that reaches this offset needs only `changes` to reach `nextOffset`. */
    readonly baseOffset: number;
    readonly changes: readonly RegistrationChange[];
    readonly ageMs: number;
    readonly confirmation: Confirmation | undefined;
    /** 0 without a configuration. */
    readonly configurationVersion: number;
    readonly configurationAgeMs: number;
    readonly configurationConfirmation: Confirmation | undefined;
}
