import type { HubState } from "@marigoldstall/fleet.hubs";
import type { ViewState } from "@marigoldstall/fleet.view";
import type { DispatchState } from "@marigoldstall/routing.dispatch";

/** State of the daemon. */
export interface EntryState {
    readonly view: ViewState;
    readonly hub: HubState;
    readonly dispatch: DispatchState;
    readonly viewTickedAtMs: number;
    /** Age of a load report at which a hub asks again. */
    readonly probeIntervalMs: number;
}
