import type { RoutingConfiguration, TenantQuota } from "@marigoldstall/core.types";

/** Quotas of the tenants of a configuration, by name. */
export const selectQuotas = ({ tenantsByKey }: RoutingConfiguration): ReadonlyMap<string, TenantQuota> =>
    new Map(
        [...tenantsByKey?.values() ?? []].flatMap(({ name, quota }) => quota === undefined ? [] : [[name, quota]]),
    );
