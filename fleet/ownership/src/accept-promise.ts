import { currentTerm } from "./current-term.js";
import type { OwnedShare } from "./owned-share.js";
import type { OwnershipEvent } from "./ownership-event.js";
import type { OwnershipState } from "./ownership-state.js";
import { refreshBounds } from "./refresh-bounds.js";
import { sameDaemon } from "./same-daemon.js";

/** Notes the bounds that a guardian promised for the current terms of this daemon. */
export const acceptPromise = (
    state: OwnershipState,
    event: Extract<OwnershipEvent, { type: "promise-answered"; }>,
): OwnershipState => {
    const { reply, atMs } = event;
    const owned = new Map<number, OwnedShare>();
    const isBehind = reply.configurationVersion > state.configurationVersion;
    for (const [share, known] of state.owned) {
        const current = currentTerm(state, share);
        if (!sameDaemon(current?.guardian, reply.guardian)) {
            owned.set(share, known);
            continue;
        }
        const promise = reply.promises.find(entry => entry.share === share && entry.term === known.term);
        owned.set(share, {
            ...known,
            promisedBoundMs: Math.max(known.promisedBoundMs, promise?.boundMs ?? 0),
            lastPromiseAtMs: promise !== undefined || isBehind ? atMs : known.lastPromiseAtMs,
        });
    }
    return refreshBounds({ ...state, owned });
};
