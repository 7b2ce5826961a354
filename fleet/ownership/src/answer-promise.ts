import { currentTerm } from "./current-term.js";
import type { OwnershipEvent } from "./ownership-event.js";
import type { OwnershipState } from "./ownership-state.js";
import { ownershipTiming } from "./ownership-timing.js";
import type { OwnershipTransition } from "./ownership-transition.js";
import type { PromiseReply } from "./promise-reply.js";
import { sameDaemon } from "./same-daemon.js";

/**
 * Promises bounds as the guardian. The highest promise is noted before the answer leaves, so that a take-over
 * starts above it even when the answer is delayed.
 */
export const answerPromise = (
    state: OwnershipState,
    event: Extract<OwnershipEvent, { type: "promise-requested"; }>,
): OwnershipTransition => {
    const { request, atMs } = event;
    const guarded = new Map(state.guarded);
    const promises: PromiseReply["promises"][number][] = [];
    const isCurrentConfiguration = request.configurationVersion >= state.configurationVersion;
    const wallMs = state.lastTick === undefined ? -Infinity : state.lastTick.wallMs + atMs - state.lastTick.atMs;
    const limitMs = Math.floor(wallMs + ownershipTiming.lookaheadMs + ownershipTiming.clockSkewMs);
    for (const { share, term } of request.shares) {
        const known = guarded.get(share);
        const current = currentTerm(state, share);
        if (known?.term !== term || current === undefined || !sameDaemon(current.owner, request.owner)) {
            continue;
        }
        const wantedMs = Math.min(request.wantedBoundMs, limitMs, current.capMs);
        const mayPromise = isCurrentConfiguration && !known.isFenced;
        const promisedBoundMs = mayPromise && wantedMs > known.promisedBoundMs ? wantedMs : known.promisedBoundMs;
        guarded.set(share, { ...known, promisedBoundMs, ownerSeenAtMs: atMs });
        if (mayPromise) {
            promises.push({ share, term, boundMs: promisedBoundMs });
        }
    }
    const reply = { guardian: state.self.daemon, configurationVersion: state.configurationVersion, promises };
    return { state: { ...state, guarded }, effects: [{ type: "answer-promise", rpcId: event.rpcId, reply }] };
};
