import { type OwnershipState, selectOwnBounds, selectTerms } from "@marigoldstall/fleet.ownership";
import type { MeasuringEvent } from "@marigoldstall/routing.measuring";

type ProbeShares = (MeasuringEvent & { readonly type: "shares-changed"; })["shares"];

// 2 s of clock skew between the former and the new owner, plus the second in which a unit may be spent once.
const TAKE_OVER_DELAY_MS = 3_000;

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
        usableFromMs: (fromMs.get(share) ?? boundMs) + TAKE_OVER_DELAY_MS,
        usableUntilMs: boundMs,
    }));
};
