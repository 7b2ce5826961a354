import { type OwnershipState, selectOwnBounds, selectTerms } from "@marigoldstall/fleet.ownership";
import type { MeasuringEvent } from "@marigoldstall/routing.measuring";

type ProbeShares = (MeasuringEvent & { readonly type: "shares-changed"; })["shares"];

/** Wall-clock intervals in which this daemon may spend the probe units of its shares. */
export const selectProbeShares = (ownership: OwnershipState): ProbeShares => {
    const bounds = selectOwnBounds(ownership);
    const fromMs = new Map<number, number>();
    for (const term of selectTerms(ownership)) {
        // Terms ascend, so that the last one of a share is its current one.
        fromMs.set(term.share, term.fromMs);
    }
    return [...bounds].map(([share, boundMs]) => ({
        share,
        usableFromMs: fromMs.get(share) ?? boundMs,
        usableUntilMs: boundMs,
    }));
};
