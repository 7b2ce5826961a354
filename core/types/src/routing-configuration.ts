import type { CallerLimits } from "./caller-limits.js";
import type { Route } from "./route.js";
import type { ServiceOptions } from "./service-options.js";
import type { Tenant } from "./tenant.js";

/** One version of the operator's configuration. */
export interface RoutingConfiguration {
    readonly version: number;
    readonly limits: CallerLimits;
    /** Routes by lower-case host, the longest path prefix first. */
    readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
    readonly services: ReadonlyMap<string, ServiceOptions>;
    /** Tenants by API key. Undefined if requests need no key. */
    readonly tenantsByKey?: ReadonlyMap<string, Tenant> | undefined;
}
