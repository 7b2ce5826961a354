import type { OwnershipMember } from "./ownership-member.js";

/** Options of `createOwnershipState`. */
export interface OwnershipStateOptions {
    /** This daemon. Its incarnation must never have been used before. */
    readonly self: OwnershipMember;
    /** Age at which the log truncates records. */
    readonly logRetentionMs: number;
}
