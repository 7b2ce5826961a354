import { rollingCounts } from "@marigoldstall/routing.state";
import { createHedgingState } from "./create-hedging-state.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchService } from "./dispatch-service.js";
import { ServerMap } from "./server-map.js";

/** Creates the state of a service before anything but its name is known. */
export const createService = (name: string): DispatchService => ({
    name,
    servers: new ServerMap(),
    queue: [],
    running: new Set(),
    workMs: new Map(),
    workSamples: new Map(),
    responseBytes: new Map(),
    slowness: DISPATCH_LIMITS.initialSlowness,
    lastSlotFactor: DISPATCH_LIMITS.initialLastSlotFactor,
    reportsLoad: true,
    loadsQueriedAtMs: -Infinity,
    loadsAnsweredAtMs: -Infinity,
    requests: rollingCounts.empty,
    resends: rollingCounts.empty,
    hedging: createHedgingState(),
});
