import type { OwnershipState } from "./ownership-state.js";
import { ownershipTiming } from "./ownership-timing.js";

/**
 * Cap that an owner states. Without a guardian there are no promises, so the cap stays at the bound and the share
 * can be taken over as soon as its keys are over. It never outlives the record that states it.
 */
export const capFor = (
    state: OwnershipState,
    opts: { readonly boundMs: number; readonly hasGuardian: boolean; readonly wallMs: number; },
): number => {
    const aheadMs = Math.min(ownershipTiming.capAheadMs, state.logRetentionMs);
    return opts.hasGuardian ? Math.max(opts.boundMs, Math.floor(opts.wallMs + aheadMs)) : opts.boundMs;
};
