import type { ShareTerm } from "@marigoldstall/fleet.ownership";
import type { LedgerState } from "./ledger-state.js";

/**
 * The term that governs a key time, and the first key time after it. `undefined` when the share has no known term;
 * `too-old` when the key time is before all known terms.
 */
export const governingTerm = (
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
