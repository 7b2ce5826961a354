import type { SelectionPolicy } from "@marigoldstall/routing.policy";
import type { RequestTable } from "./request-table.js";
import type { ServiceState } from "./service-state.js";

/** State of the routing slice. */
export interface RoutingState {
    /** Incremented by each event. */
    readonly revision: number;
    readonly vmId: string;
    readonly availabilityZone: string;
    readonly policy: SelectionPolicy;
    readonly services: readonly ServiceState[];
    /** Index in `services` by name. */
    readonly serviceIndexes: ReadonlyMap<string, number>;
    readonly requests: RequestTable;
    /** Name of the service of each known backend server, by address. */
    readonly addressServices: ReadonlyMap<string, string>;
    readonly vmListAsOfMs: number | undefined;
    /** Earliest time at which a `tick` can have work to do. */
    readonly wakeAtMs: number;
}
