import type { ShareTerm } from "./share-term.js";

/** What the valid records of the log say. It is the same for all readers that have read up to the same offset. */
export interface OwnershipFold {
    /** Terms of each share, ascending; the last one is current. */
    readonly termsByShare: readonly (readonly ShareTerm[])[];
    readonly malformedRecords: number;
    readonly invalidEntries: number;
}
