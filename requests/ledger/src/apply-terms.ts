import type { ShareTerm } from "@marigoldstall/fleet.ownership";
import { advanceRequests } from "./advance-requests.js";
import { decideWaitingClaims } from "./decide-waiting-claims.js";
import type { LedgerEvent } from "./ledger-event.js";
import type { LedgerState } from "./ledger-state.js";
import type { LedgerTransition } from "./ledger-transition.js";
import { raiseFloor } from "./raise-floor.js";

const groupByShare = (terms: readonly ShareTerm[]): ReadonlyMap<number, readonly ShareTerm[]> => {
    const byShare = new Map<number, ShareTerm[]>();
    for (const term of terms) {
        const shareTerms = byShare.get(term.share);
        if (shareTerms === undefined) {
            byShare.set(term.share, [term]);
        }
        else {
            shareTerms.push(term);
        }
    }
    return byShare;
};

/** Stores the terms and bounds of the ownership slice, then decides waiting claims and advances requests. */
export const applyTerms = (
    state: LedgerState,
    event: Extract<LedgerEvent, { type: "terms-changed"; }>,
): LedgerTransition => {
    const { terms, ownBoundsMs } = event;
    const termsByShare = terms === state.terms ? state.termsByShare : groupByShare(terms);
    let { table } = state;
    for (const [share, shareTerms] of termsByShare) {
        const boundMs = Math.max(shareTerms.at(-1)?.boundMs ?? 0, ownBoundsMs.get(share) ?? 0);
        table = raiseFloor(table, { share, boundMs });
    }
    const decided = decideWaitingClaims({ ...state, terms, termsByShare, ownBoundsMs, table }, event);
    const advanced = advanceRequests(decided.state, event.atMs);
    return { state: advanced.state, effects: [...decided.effects, ...advanced.effects] };
};
