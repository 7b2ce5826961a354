import { chooseGuardian } from "./choose-guardian.js";
import { currentTerm } from "./current-term.js";
import { daemonKey } from "./daemon-key.js";
import { endOwnTerms } from "./end-own-terms.js";
import { isAssignPending } from "./is-assign-pending.js";
import { isLogUsable } from "./is-log-usable.js";
import type { OwnershipState } from "./ownership-state.js";
import { OWNERSHIP_TIMING } from "./ownership-timing.js";
import type { OwnershipTransition } from "./ownership-transition.js";
import type { StepContext } from "./step-context.js";

/** A guardian that keeps refusing may be fenced; a new term with the same guardian clears the fence. */
const RENEW_SAME_GUARDIAN_AFTER_MS = 30_000;

/** Starts a new term with another guardian for own shares whose guardian is missing, lost or in the owner's zone. */
export const replaceGuardians = (state: OwnershipState, context: StepContext): OwnershipTransition => {
    const { atMs } = context;
    if (state.isStopping || state.owned.size === 0 || !isLogUsable(state, atMs)) {
        return { state, effects: [] };
    }
    const suspectedUntilMs = new Map(state.suspectedUntilMs);
    const next = { ...state, suspectedUntilMs };
    const memberKeys = new Set(state.members.map(member => daemonKey(member.daemon)));
    const areMembersStable = atMs - state.membersChangedAtMs >= OWNERSHIP_TIMING.rebalanceAfterMs;
    const successors = [...state.owned].flatMap(([share, ownedShare]) => {
        if (isAssignPending(state, share)) {
            return [];
        }
        const guardianId = currentTerm(state, share)?.guardian;
        const key = guardianId === undefined ? undefined : daemonKey(guardianId);
        const guardian = key === undefined ? undefined : state.addresses.get(key);
        const isMember = key !== undefined && memberKeys.has(key);
        const silentMs = atMs - ownedShare.lastPromiseAtMs;
        const isSilent = silentMs >= OWNERSHIP_TIMING.guardianLostAfterMs;
        if (key !== undefined && isMember && isSilent) {
            suspectedUntilMs.set(key, atMs + OWNERSHIP_TIMING.suspectForMs);
        }
        const isInOwnZone = areMembersStable && guardian?.availabilityZone === state.self.availabilityZone;
        if (isMember && !isSilent && !isInOwnZone) {
            return [];
        }
        const candidate = chooseGuardian(next, { share, owner: state.self, atMs });
        if (isMember && !isSilent && candidate?.availabilityZone === state.self.availabilityZone) {
            return [];
        }
        const replacement = candidate ?? (isMember && silentMs >= RENEW_SAME_GUARDIAN_AFTER_MS ? guardian : undefined);
        return replacement === undefined ? [] : [{ share, owner: state.self, guardian: replacement }];
    });
    return endOwnTerms(next, { successors, reason: "replaces the guardian", context });
};
