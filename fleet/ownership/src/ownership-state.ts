import type { GuardedShare } from "./guarded-share.js";
import type { LogPosition } from "./log-position.js";
import type { OwnedShare } from "./owned-share.js";
import type { OwnershipFold } from "./ownership-fold.js";
import type { OwnershipMember } from "./ownership-member.js";
import type { PendingAssign } from "./pending-assign.js";
import type { ShareTerm } from "./share-term.js";

/** State of {@link reduceOwnership}. Other packages read it through the selectors only. */
export interface OwnershipState {
    readonly self: OwnershipMember;
    readonly logRetentionMs: number;
    /** Live members in ascending order of VM id, including this daemon unless it is stopping. */
    readonly members: readonly OwnershipMember[];
    readonly membersKnown: boolean;
    readonly membersChangedAtMs: number;
    /** Members, and guardians that are no longer members, by {@link daemonKey}. */
    readonly addresses: ReadonlyMap<string, OwnershipMember>;
    readonly configurationVersion: number;
    readonly log: LogPosition;
    readonly fold: OwnershipFold;
    readonly owned: ReadonlyMap<number, OwnedShare>;
    readonly guarded: ReadonlyMap<number, GuardedShare>;
    readonly pendingAssigns: readonly PendingAssign[];
    /** Time until which a failed daemon is not chosen as owner or guardian, by {@link daemonKey}. */
    readonly suspectedUntilMs: ReadonlyMap<string, number>;
    readonly recordCount: number;
    readonly nextExtendAtMs: number;
    readonly nextPromiseAtMs: number;
    readonly lastTick: { readonly atMs: number; readonly wallMs: number; } | undefined;
    readonly isStopping: boolean;
    readonly terms: readonly ShareTerm[];
    readonly ownBoundsMs: ReadonlyMap<number, number>;
}
