import type { Tenant } from "@marigoldstall/core.types";
import type { KnownConfiguration } from "@marigoldstall/fleet.view";
import { MODEL_ROUTE } from "./model-route.js";

const SERVICE = { name: "one", healthPath: "/health", maxConnections: 220 };

/** Creates a configuration with the only route and service of the fleet model. */
export const createModelConfiguration = (
    version: number,
    opts: {
        readonly coldRequestsPerSecond: number | undefined;
        readonly tenantsByKey?: ReadonlyMap<string, Tenant> | undefined;
    },
): KnownConfiguration => ({
    text: String(version),
    configuration: {
        version,
        limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
        routesByHost: new Map([[MODEL_ROUTE.host, [MODEL_ROUTE]]]),
        services: new Map([[SERVICE.name, { ...SERVICE, coldRequestsPerSecond: opts.coldRequestsPerSecond }]]),
        tenantsByKey: opts.tenantsByKey,
    },
});
