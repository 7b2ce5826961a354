import type { SelectionPolicy } from "@marigoldstall/routing.policy";
import type { HashMap } from "effect/HashMap";
import type { RequestState } from "./request-state.js";
import type { ServiceState } from "./service-state.js";

/** State of the routing slice. */
export interface RoutingState {
    /** Rises with each event. */
    readonly revision: number;
    readonly vmId: string;
    readonly availabilityZone: string;
    readonly policy: SelectionPolicy;
    readonly services: HashMap<string, ServiceState>;
    readonly requests: HashMap<string, RequestState>;
    /** Service of each known backend server, by address. */
    readonly addressServices: ReadonlyMap<string, string>;
    readonly vmListAsOfMs: number | undefined;
    /** Lower limit of the time at which a `tick` has something to do. */
    readonly wakeAtMs: number;
}
