import type { ShareTerm } from "@marigoldstall/fleet.ownership";
import type { LedgerState } from "./ledger-state.js";

/**
 * Finds the term that contains a key time, and the key time at which the next term starts. Returns `undefined` if the
 * share has no known term, and `too-old` if the key time is before all known terms.
 */
export const findGoverningTerm = (
    state: LedgerState,
    opts: { readonly share: number; readonly keyTimeMs: number; },
): { readonly term: ShareTerm; readonly endMs: number | undefined; } | "too-old" | undefined => {
    const terms = state.termsByShare.get(opts.share) ?? [];
    if (terms.length === 0) {
        return undefined;
    }
    const index = terms.findLastIndex(term => term.fromMs <= opts.keyTimeMs);
    const term = terms[index];
    return term === undefined ? "too-old" : { term, endMs: terms[index + 1]?.fromMs };
};
