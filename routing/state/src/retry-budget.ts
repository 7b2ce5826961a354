import { rollingCounts } from "./rolling-counts.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import type { ServiceState } from "./service-state.js";

// The requests are summed over slightly less than the window and the extra attempts over slightly more, so that
// the budget holds in every window whatever its start.
const WINDOW = ROUTING_LIMITS.budgetWindowSeconds;

/** Limits of the extra attempts that a service bears. */
export const retryBudget = {
    allowsRetry: (service: ServiceState, atMs: number): boolean => {
        const allowed = Math.max(
            ROUTING_LIMITS.retryFloor,
            ROUTING_LIMITS.retryShare * rollingCounts.sum(service.arrivals, atMs, WINDOW),
        );
        return rollingCounts.sum(service.retries, atMs, WINDOW + 1) + 1 <= allowed;
    },

    allowsHedge: (service: ServiceState, atMs: number): boolean => {
        const allowed = Math.max(
            ROUTING_LIMITS.hedgeFloor,
            ROUTING_LIMITS.hedgeShare * rollingCounts.sum(service.hedgeable, atMs, WINDOW),
        );
        return rollingCounts.sum(service.hedges, atMs, WINDOW + 1) + 1 <= allowed;
    },
};
