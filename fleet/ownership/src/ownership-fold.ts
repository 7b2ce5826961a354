import type { ShareTerm } from "./share-term.js";

/** Result of the valid records of the log. All readers that have read up to the same offset have the same terms. */
export interface OwnershipFold {
    /** Terms of each share, ascending; the last one is current. */
    readonly termsByShare: readonly (readonly ShareTerm[])[];
    readonly malformedRecords: number;
    readonly invalidEntries: number;
}
