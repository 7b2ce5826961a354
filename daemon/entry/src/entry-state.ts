import type { HubState } from "@marigoldstall/fleet.hubs";
import type { ViewState } from "@marigoldstall/fleet.view";
import type { DispatchState } from "@marigoldstall/routing.dispatch";
import type { QuotaState } from "@marigoldstall/routing.quotas";

/** State of the root reducer, which contains the states of the slices. */
export interface EntryState {
    readonly view: ViewState;
    readonly hub: HubState;
    readonly dispatch: DispatchState;
    readonly quotas: QuotaState;
    /** Whether this VM probes backend servers. */
    readonly isProber: boolean;
    /** Number of registered servers in this VM's zone. */
    readonly zoneServerCount: number;
    readonly lastViewTickAtMs: number;
    /** Age of a load report at which a hub probes the backend server again. */
    readonly probeIntervalMs: number;
}
