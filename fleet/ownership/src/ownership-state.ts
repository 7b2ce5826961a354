import type { OwnershipMember } from "./ownership-member.js";
import type { ShareTerm } from "./share-term.js";

/** State of the ownership slice. Read it through the selectors only. */
export interface OwnershipState {
    readonly self: OwnershipMember;
    readonly logRetentionMs: number;
    readonly nextOffset: number;
    readonly terms: readonly ShareTerm[];
    readonly ownBoundsMs: ReadonlyMap<number, number>;
}
