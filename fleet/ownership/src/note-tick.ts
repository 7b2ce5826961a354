import type { OwnershipMoment } from "./ownership-moment.js";
import type { OwnershipState } from "./ownership-state.js";
import { ownershipTiming } from "./ownership-timing.js";

/** Records the time. After a pause of this daemon, the silence of others starts to count anew. */
export const noteTick = (state: OwnershipState, moment: OwnershipMoment): OwnershipState => {
    const { atMs, wallMs } = moment;
    const isSuspicionOver = [...state.suspectedUntilMs.values()].some(untilMs => untilMs <= atMs);
    const suspectedUntilMs = isSuspicionOver
        ? new Map([...state.suspectedUntilMs].filter(([, untilMs]) => untilMs > atMs))
        : state.suspectedUntilMs;
    const noted = { ...state, suspectedUntilMs, lastTick: { atMs, wallMs } };
    if (state.lastTick === undefined || atMs - state.lastTick.atMs < ownershipTiming.pauseMs) {
        return noted;
    }
    return {
        ...noted,
        owned: new Map(
            [...state.owned].map(([share, known]) => [
                share,
                { ...known, lastPromiseAtMs: atMs, otherWinnerSinceMs: undefined },
            ]),
        ),
        guarded: new Map([...state.guarded].map(([share, known]) => [share, { ...known, ownerSeenAtMs: atMs }])),
    };
};
