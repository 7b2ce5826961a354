import type { Route } from "@marigoldstall/core.types";

/** The only route of the fleet model. */
export const MODEL_ROUTE: Route = {
    name: "check",
    host: "parks.example",
    pathPrefix: "/check/",
    isIdempotent: true,
    priority: 2,
    latencyTargetMs: 400,
    timeoutMs: 1_200,
    maxAttempts: 2,
    destinations: [{ service: "one", weight: 1 }],
};
