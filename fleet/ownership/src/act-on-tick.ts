import { appendSnapshot } from "./append-snapshot.js";
import { bootstrapShares } from "./bootstrap-shares.js";
import { claimExpiredShares } from "./claim-expired-shares.js";
import { extendTerms } from "./extend-terms.js";
import { handOverShares } from "./hand-over-shares.js";
import type { OwnershipEffect } from "./ownership-effect.js";
import type { OwnershipMoment } from "./ownership-moment.js";
import type { OwnershipState } from "./ownership-state.js";
import type { OwnershipTransition } from "./ownership-transition.js";
import { refreshBounds } from "./refresh-bounds.js";
import { repeatAppends } from "./repeat-appends.js";
import { replaceGuardians } from "./replace-guardians.js";
import { requestPromises } from "./request-promises.js";
import { takeOverShares } from "./take-over-shares.js";

const steps: readonly ((state: OwnershipState, moment: OwnershipMoment) => OwnershipTransition)[] = [
    repeatAppends,
    requestPromises,
    extendTerms,
    takeOverShares,
    replaceGuardians,
    handOverShares,
    claimExpiredShares,
    bootstrapShares,
    appendSnapshot,
];

/** Does everything that is due at this moment. */
export const actOnTick = (state: OwnershipState, moment: OwnershipMoment): OwnershipTransition => {
    const effects: OwnershipEffect[] = [];
    let next = state;
    for (const step of steps) {
        const transition = step(next, moment);
        next = transition.state;
        effects.push(...transition.effects);
    }
    return { state: refreshBounds(next), effects };
};
