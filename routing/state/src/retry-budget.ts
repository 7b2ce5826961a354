import { rollingCounts } from "./rolling-counts.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import type { ServiceState } from "./service-state.js";

// Requests are summed over slightly less than the window and extra attempts over slightly more, so that the budget
// holds in every window, regardless of its start.
const WINDOW_SECONDS = ROUTING_LIMITS.budgetWindowSeconds;

/** Limits the retries and hedges of a service. */
export const retryBudget = {
    allowsRetry: (service: ServiceState, atMs: number): boolean => {
        const allowed = Math.max(
            ROUTING_LIMITS.minRetries,
            ROUTING_LIMITS.retryRatio * rollingCounts.sum(service.arrivals, atMs, WINDOW_SECONDS),
        );
        return rollingCounts.sum(service.retries, atMs, WINDOW_SECONDS + 1) + 1 <= allowed;
    },

    allowsHedge: (service: ServiceState, atMs: number): boolean => {
        const allowed = Math.max(
            ROUTING_LIMITS.minHedges,
            ROUTING_LIMITS.hedgeRatio * rollingCounts.sum(service.hedgeableArrivals, atMs, WINDOW_SECONDS),
        );
        return rollingCounts.sum(service.hedges, atMs, WINDOW_SECONDS + 1) + 1 <= allowed;
    },
};
