import type { CallerLimits } from "./caller-limits.js";
import type { Route } from "./route.js";
import type { ServiceOptions } from "./service-options.js";

/** One version of the operator's configuration. */
export interface RoutingConfiguration {
    readonly version: number;
    readonly limits: CallerLimits;
    /** Routes by lower-case host, the longest path prefix first. */
    readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
    readonly services: ReadonlyMap<string, ServiceOptions>;
}
