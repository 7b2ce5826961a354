import type { OwnershipState } from "./ownership-state.js";
import { OWNERSHIP_TIMING } from "./ownership-timing.js";

/**
 * Computes the cap that the owner of a term records. Without a guardian there are no promises, so the cap equals the
 * bound and the share can be claimed as soon as its key times have passed. The cap passes before the record that states
 * it is truncated.
 */
export const computeCapMs = (
    state: OwnershipState,
    opts: { readonly boundMs: number; readonly hasGuardian: boolean; readonly wallMs: number; },
): number => {
    const aheadMs = Math.min(OWNERSHIP_TIMING.capAheadMs, state.logRetentionMs);
    return opts.hasGuardian ? Math.max(opts.boundMs, Math.floor(opts.wallMs + aheadMs)) : opts.boundMs;
};
