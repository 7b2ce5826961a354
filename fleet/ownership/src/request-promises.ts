import { currentTerm } from "./current-term.js";
import { daemonKey } from "./daemon-key.js";
import type { OwnershipMember } from "./ownership-member.js";
import type { OwnershipState } from "./ownership-state.js";
import { OWNERSHIP_TIMING } from "./ownership-timing.js";
import type { OwnershipTransition } from "./ownership-transition.js";
import type { StepContext } from "./step-context.js";

/** Requests each guardian to raise the bounds of all shares that it guards for this daemon. */
export const requestPromises = (state: OwnershipState, context: StepContext): OwnershipTransition => {
    if (context.atMs < state.nextPromiseAtMs) {
        return { state, effects: [] };
    }
    const byGuardian = new Map<string, { guardian: OwnershipMember; shares: { share: number; term: number; }[]; }>();
    for (const [share, { term }] of state.owned) {
        const guardianId = currentTerm(state, share)?.guardian;
        const guardian = guardianId === undefined ? undefined : state.addresses.get(daemonKey(guardianId));
        if (guardian !== undefined) {
            const key = daemonKey(guardian.daemon);
            const group = byGuardian.get(key) ?? { guardian, shares: [] };
            group.shares.push({ share, term });
            byGuardian.set(key, group);
        }
    }
    return {
        state: { ...state, nextPromiseAtMs: context.atMs + OWNERSHIP_TIMING.promiseIntervalMs },
        effects: [...byGuardian.values()].map(({ guardian, shares }) => ({
            type: "request-promise",
            guardian,
            request: {
                owner: state.self.daemon,
                configurationVersion: state.configurationVersion,
                wantedBoundMs: Math.floor(context.wallMs + OWNERSHIP_TIMING.lookaheadMs),
                shares,
            },
        })),
    };
};
