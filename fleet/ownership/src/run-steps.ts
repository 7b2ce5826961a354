import { appendSnapshot } from "./append-snapshot.js";
import { bootstrapShares } from "./bootstrap-shares.js";
import { claimExpiredShares } from "./claim-expired-shares.js";
import { extendTerms } from "./extend-terms.js";
import { handOverShares } from "./hand-over-shares.js";
import type { OwnershipEffect } from "./ownership-effect.js";
import type { OwnershipState } from "./ownership-state.js";
import type { OwnershipTransition } from "./ownership-transition.js";
import { refreshBounds } from "./refresh-bounds.js";
import { replaceGuardians } from "./replace-guardians.js";
import { requestPromises } from "./request-promises.js";
import { resendPendingAssigns } from "./resend-pending-assigns.js";
import type { StepContext } from "./step-context.js";
import { takeOverShares } from "./take-over-shares.js";

const steps: readonly ((state: OwnershipState, context: StepContext) => OwnershipTransition)[] = [
    resendPendingAssigns,
    requestPromises,
    extendTerms,
    takeOverShares,
    replaceGuardians,
    handOverShares,
    claimExpiredShares,
    bootstrapShares,
    appendSnapshot,
];

/** Runs all periodic steps in order; each performs what is due at the given time. */
export const runSteps = (state: OwnershipState, context: StepContext): OwnershipTransition => {
    const effects: OwnershipEffect[] = [];
    let next = state;
    for (const step of steps) {
        const transition = step(next, context);
        next = transition.state;
        effects.push(...transition.effects);
    }
    return { state: refreshBounds(next), effects };
};
