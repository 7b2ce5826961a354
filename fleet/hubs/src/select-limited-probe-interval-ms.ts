import { HUB_LIMITS } from "./hub-limits.js";
import type { HubState } from "./hub-state.js";
import { selectPermitShare } from "./select-permit-share.js";

const MS_PER_SECOND = 1_000;

/** Minimum time between two health checks that this VM sends to a server that limits its requests. */
export const selectLimitedProbeIntervalMs = (
    state: HubState,
    opts: { readonly availabilityZone: string; readonly limitPerSecond: number; readonly atMs: number; },
): number => {
    const share = selectPermitShare(state, opts.availabilityZone, opts.atMs);
    return MS_PER_SECOND / (opts.limitPerSecond * HUB_LIMITS.limitedProbeShare * share);
};
