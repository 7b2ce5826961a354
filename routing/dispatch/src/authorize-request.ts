import type { Route, RoutingConfiguration, Tenant } from "@marigoldstall/core.types";
import { REJECT_REASONS } from "./reject-reasons.js";

interface Authorization {
    /** Tenant of the caller's key. Undefined without a known key. */
    readonly tenant: Tenant | undefined;
    /** Why the request is rejected. Undefined if it may run. */
    readonly rejectReason: string | undefined;
}

/**
 * Decides whether the caller's API key allows a request of a route. Once the configuration is older than the lease, a
 * newer one may have taken the key away, or added it, so that no key counts.
 */
export const authorizeRequest = (
    configuration: RoutingConfiguration,
    route: Route,
    opts: {
        readonly apiKey: string | undefined;
        readonly configurationAgeMs: number;
        readonly keyLeaseMs: number | undefined;
    },
): Authorization => {
    const { tenantsByKey } = configuration;
    const { apiKey, configurationAgeMs, keyLeaseMs = Infinity } = opts;
    if (tenantsByKey === undefined) {
        return { tenant: undefined, rejectReason: undefined };
    }
    const isConfirmed = configurationAgeMs <= keyLeaseMs;
    const tenant = isConfirmed && apiKey !== undefined ? tenantsByKey.get(apiKey) : undefined;
    if (tenant !== undefined || route.isPublic === true) {
        return { tenant, rejectReason: undefined };
    }
    const { unknownApiKey, configurationUnconfirmed } = REJECT_REASONS;
    return { tenant, rejectReason: isConfirmed ? unknownApiKey : configurationUnconfirmed };
};
