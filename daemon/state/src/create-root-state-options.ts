import type { Member } from "@marigoldstall/fleet.membership";
import type { SelectionPolicyName } from "@marigoldstall/routing.policy";

/** Options of {@link createRootState}. */
export interface CreateRootStateOptions {
    readonly self: Member;
    readonly atMs: number;
    readonly logRetentionMs: number;
    /** Maps an idempotency key to its share; created by `createShareHasher` of fleet.ownership. */
    readonly shareOf: (service: string, key: string) => number;
    readonly policy?: SelectionPolicyName | undefined;
}
