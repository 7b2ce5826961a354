import type { Member } from "./member.js";

/** Options of {@link createMembershipState}. */
export interface CreateMembershipStateOptions {
    readonly self: Member;
    readonly atMs: number;
}
