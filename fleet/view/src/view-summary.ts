import type { Confirmation } from "./confirmation.js";
import type { RegistrationChange } from "./registration-change.js";
import type { StorePosition } from "./store-position.js";
import type { ZoneEvacuation } from "./zone-evacuation.js";

/** Summary of the sender's view in a datagram. */
export interface ViewSummary {
    /** Position after the last registration change in the sender's view. Undefined if the sender has no view. */
    readonly next: StorePosition | undefined;
    /** A view that has reached this position needs only `changes` to reach `next`. */
    readonly base: StorePosition;
    readonly changes: readonly RegistrationChange[];
    readonly ageMs: number;
    readonly confirmation: Confirmation | undefined;
    /** 0 if the sender has no configuration. */
    readonly configurationVersion: number;
    readonly configurationAgeMs: number;
    readonly configurationConfirmation: Confirmation | undefined;
    /** The latest known record on each zone. Undefined if there is none, or the sender is of an earlier release. */
    readonly evacuations?: readonly ZoneEvacuation[] | undefined;
}
