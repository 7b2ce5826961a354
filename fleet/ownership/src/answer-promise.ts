import { currentTerm } from "./current-term.js";
import { isSameDaemon } from "./is-same-daemon.js";
import type { OwnershipEvent } from "./ownership-event.js";
import type { OwnershipState } from "./ownership-state.js";
import { OWNERSHIP_TIMING } from "./ownership-timing.js";
import type { OwnershipTransition } from "./ownership-transition.js";
import type { PromiseReply } from "./promise-reply.js";

/**
 * Promises bounds as the guardian. The highest promise is stored before the answer is sent, so that a takeover starts
 * at or above it even when the answer is delayed.
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
    const limitMs = Math.floor(wallMs + OWNERSHIP_TIMING.lookaheadMs + OWNERSHIP_TIMING.clockSkewMs);
    for (const { share, term } of request.shares) {
        const guardedShare = guarded.get(share);
        const current = currentTerm(state, share);
        if (guardedShare?.term !== term || current === undefined || !isSameDaemon(current.owner, request.owner)) {
            continue;
        }
        const wantedMs = Math.min(request.wantedBoundMs, limitMs, current.capMs);
        const mayPromise = isCurrentConfiguration && !guardedShare.isFenced;
        const promisedBoundMs = mayPromise && wantedMs > guardedShare.promisedBoundMs
            ? wantedMs
            : guardedShare.promisedBoundMs;
        guarded.set(share, { ...guardedShare, promisedBoundMs, ownerSeenAtMs: atMs });
        if (mayPromise) {
            promises.push({ share, term, boundMs: promisedBoundMs });
        }
    }
    const reply = { guardian: state.self.daemon, configurationVersion: state.configurationVersion, promises };
    return { state: { ...state, guarded }, effects: [{ type: "answer-promise", rpcId: event.rpcId, reply }] };
};
