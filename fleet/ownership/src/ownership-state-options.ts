import type { OwnershipMember } from "./ownership-member.js";

/** Options of `createOwnershipState`. */
export interface OwnershipStateOptions {
    /** This run of this daemon. Its incarnation must never have been used before. */
    readonly self: OwnershipMember;
    /** Age at which the log drops records. */
    readonly logRetentionMs: number;
}
