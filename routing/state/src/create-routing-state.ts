import { createSelectionPolicy } from "@marigoldstall/routing.policy";
import * as HashMap from "effect/HashMap";
import type { CreateRoutingStateOptions } from "./create-routing-state-options.js";
import type { RoutingState } from "./routing-state.js";

/** The routing state of a daemon that knows no service yet. */
export const createRoutingState = (opts: CreateRoutingStateOptions): RoutingState => ({
    revision: 0,
    vmId: opts.vmId,
    availabilityZone: opts.availabilityZone,
    policy: createSelectionPolicy(opts.policy ?? "slot-aware"),
    services: HashMap.empty(),
    requests: HashMap.empty(),
    addressServices: new Map(),
    vmListAsOfMs: undefined,
    wakeAtMs: Infinity,
});
