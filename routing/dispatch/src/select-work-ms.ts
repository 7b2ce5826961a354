import type { Route } from "@marigoldstall/core.types";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchService } from "./dispatch-service.js";

/** Work of a request of a route at the usual speed. */
export const selectWorkMs = (service: DispatchService, route: Route): number =>
    service.workMs.get(route.name) ?? route.latencyTargetMs * DISPATCH_LIMITS.initialWorkShare;
