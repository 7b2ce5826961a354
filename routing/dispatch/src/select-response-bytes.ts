import type { Route } from "@marigoldstall/core.types";
import type { DispatchService } from "./dispatch-service.js";

/** Average response size of a route, 0 before the first response. */
export const selectResponseBytes = (service: DispatchService, route: Route): number =>
    service.responseBytes.get(route.name) ?? 0;
