import type { Route } from "@marigoldstall/core.types";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchService } from "./dispatch-service.js";

/** Estimated duration of a request of a route on a VM at normal speed. */
export const selectWorkMs = (service: DispatchService, route: Route): number =>
    service.workMs.get(route.name) ?? route.latencyTargetMs * DISPATCH_LIMITS.initialWorkShare;
