import { chooseGuardian } from "./choose-guardian.js";
import { currentTerm } from "./current-term.js";
import { daemonKey } from "./daemon-key.js";
import { endOwnTerms } from "./end-own-terms.js";
import { isAssignPending } from "./is-assign-pending.js";
import { isLogUsable } from "./is-log-usable.js";
import type { OwnershipMoment } from "./ownership-moment.js";
import type { OwnershipState } from "./ownership-state.js";
import { ownershipTiming } from "./ownership-timing.js";
import type { OwnershipTransition } from "./ownership-transition.js";

/** A guardian that refuses is fenced perhaps; a new term with the same guardian clears that. */
const SAME_GUARDIAN_AFTER_MS = 30_000;

/** Starts a new term with another guardian where the guardian is missing, lost or in the owner's own zone. */
export const replaceGuardians = (state: OwnershipState, moment: OwnershipMoment): OwnershipTransition => {
    const { atMs } = moment;
    if (state.isStopping || state.owned.size === 0 || !isLogUsable(state, atMs)) {
        return { state, effects: [] };
    }
    const suspectedUntilMs = new Map(state.suspectedUntilMs);
    const next = { ...state, suspectedUntilMs };
    const memberKeys = new Set(state.members.map(member => daemonKey(member.daemon)));
    const areMembersStable = atMs - state.membersChangedAtMs >= ownershipTiming.rebalanceAfterMs;
    const successors = [...state.owned].flatMap(([share, known]) => {
        if (isAssignPending(state, share)) {
            return [];
        }
        const guardianId = currentTerm(state, share)?.guardian;
        const key = guardianId === undefined ? undefined : daemonKey(guardianId);
        const guardian = key === undefined ? undefined : state.addresses.get(key);
        const isMember = key !== undefined && memberKeys.has(key);
        const silentMs = atMs - known.lastPromiseAtMs;
        const isSilent = silentMs >= ownershipTiming.guardianLostAfterMs;
        if (key !== undefined && isMember && isSilent) {
            suspectedUntilMs.set(key, atMs + ownershipTiming.suspectForMs);
        }
        const isZoneShared = areMembersStable && guardian?.availabilityZone === state.self.availabilityZone;
        if (isMember && !isSilent && !isZoneShared) {
            return [];
        }
        const candidate = chooseGuardian(next, { share, owner: state.self, atMs });
        if (isMember && !isSilent && candidate?.availabilityZone === state.self.availabilityZone) {
            return [];
        }
        const replacement = candidate ?? (isMember && silentMs >= SAME_GUARDIAN_AFTER_MS ? guardian : undefined);
        return replacement === undefined ? [] : [{ share, owner: state.self, guardian: replacement }];
    });
    return endOwnTerms(next, { successors, reason: "replaces the guardian", moment });
};
