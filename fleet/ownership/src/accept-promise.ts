import { currentTerm } from "./current-term.js";
import { isSameDaemon } from "./is-same-daemon.js";
import type { OwnedShare } from "./owned-share.js";
import type { OwnershipEvent } from "./ownership-event.js";
import type { OwnershipState } from "./ownership-state.js";
import { refreshBounds } from "./refresh-bounds.js";

/** Stores the bounds that a guardian promised for the current terms of this daemon. */
export const acceptPromise = (
    state: OwnershipState,
    event: Extract<OwnershipEvent, { type: "promise-answered"; }>,
): OwnershipState => {
    const { reply, atMs } = event;
    const owned = new Map<number, OwnedShare>();
    const isBehind = reply.configurationVersion > state.configurationVersion;
    for (const [share, ownedShare] of state.owned) {
        const current = currentTerm(state, share);
        if (!isSameDaemon(current?.guardian, reply.guardian)) {
            owned.set(share, ownedShare);
            continue;
        }
        const promise = reply.promises.find(entry => entry.share === share && entry.term === ownedShare.term);
        owned.set(share, {
            ...ownedShare,
            promisedBoundMs: Math.max(ownedShare.promisedBoundMs, promise?.boundMs ?? 0),
            lastPromiseAtMs: promise !== undefined || isBehind ? atMs : ownedShare.lastPromiseAtMs,
        });
    }
    return refreshBounds({ ...state, owned });
};
