import { type OwnershipState, selectOwnBounds, selectTerms } from "@marigoldstall/fleet.ownership";
import type { MeasuringEvent } from "@marigoldstall/routing.measuring";

type ProbeShares = (MeasuringEvent & { readonly type: "shares-changed"; })["shares"];

/** Selects the wall-clock intervals in which this daemon may use the probe budget of its shares. */
export const selectProbeShares = (ownership: OwnershipState): ProbeShares => {
    const ownBoundsMs = selectOwnBounds(ownership);
    const currentTermFromMs = new Map<number, number>();
    for (const term of selectTerms(ownership)) {
        // Terms are in ascending order, so the last term of a share is its current one.
        currentTermFromMs.set(term.share, term.fromMs);
    }
    return [...ownBoundsMs].map(([share, boundMs]) => ({
        share,
        usableFromMs: currentTermFromMs.get(share) ?? boundMs,
        usableUntilMs: boundMs,
    }));
};
