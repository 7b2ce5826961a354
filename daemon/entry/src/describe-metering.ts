import type { DecisionRecord } from "@marigoldstall/routing.dispatch";
import type { QuotaEffect } from "@marigoldstall/routing.quotas";

/** Log record of a tenant, or all of them, becoming metered or ceasing to be. */
export const describeMetering = (
    effect: Extract<QuotaEffect, { readonly type: "log-metering"; }>,
): DecisionRecord => {
    const { isMetered, tenantName, usedRequests, limitRequests, share } = effect;
    return {
        kind: isMetered ? "tenant-metered" : "tenant-unmetered",
        inputs: {
            tenant: tenantName ?? "all",
            usedRequests: Math.round(usedRequests),
            limitRequests: Math.round(limitRequests),
            fleetShare: Math.round(share * 100) / 100,
        },
    };
};
