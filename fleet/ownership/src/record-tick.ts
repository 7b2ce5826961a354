import type { OwnershipState } from "./ownership-state.js";
import { OWNERSHIP_TIMING } from "./ownership-timing.js";
import type { StepContext } from "./step-context.js";

/**
 * Records the time of a tick and drops expired suspicions. After a pause of this daemon, the timeouts of other daemons
 * restart.
 */
export const recordTick = (state: OwnershipState, context: StepContext): OwnershipState => {
    const { atMs, wallMs } = context;
    const hasExpiredSuspicion = [...state.suspectedUntilMs.values()].some(untilMs => untilMs <= atMs);
    const suspectedUntilMs = hasExpiredSuspicion
        ? new Map([...state.suspectedUntilMs].filter(([, untilMs]) => untilMs > atMs))
        : state.suspectedUntilMs;
    const updated = { ...state, suspectedUntilMs, lastTick: { atMs, wallMs } };
    if (state.lastTick === undefined || atMs - state.lastTick.atMs < OWNERSHIP_TIMING.pauseThresholdMs) {
        return updated;
    }
    return {
        ...updated,
        owned: new Map(
            [...state.owned].map(([share, ownedShare]) => [
                share,
                { ...ownedShare, lastPromiseAtMs: atMs, otherWinnerSinceMs: undefined },
            ]),
        ),
        guarded: new Map(
            [...state.guarded].map(([share, guardedShare]) => [share, { ...guardedShare, ownerSeenAtMs: atMs }]),
        ),
    };
};
