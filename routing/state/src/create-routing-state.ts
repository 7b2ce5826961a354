import { createSelectionPolicy } from "@marigoldstall/routing.policy";
import type { CreateRoutingStateOptions } from "./create-routing-state-options.js";
import { RequestTable } from "./request-table.js";
import type { RoutingState } from "./routing-state.js";

/** Creates the routing state of a daemon without services. */
export const createRoutingState = (opts: CreateRoutingStateOptions): RoutingState => ({
    revision: 0,
    vmId: opts.vmId,
    availabilityZone: opts.availabilityZone,
    policy: createSelectionPolicy(opts.policy ?? "slot-aware"),
    services: [],
    serviceIndexes: new Map(),
    requests: RequestTable.empty,
    addressServices: new Map(),
    vmListAsOfMs: undefined,
    wakeAtMs: Infinity,
});
