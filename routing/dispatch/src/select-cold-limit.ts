import type { DispatchState } from "./dispatch-state.js";
import { isColdLimited } from "./is-cold-limited.js";
import type { ServerState } from "./server-state.js";

/** Requests per second that a server tolerates from all VMs together while it is cold. Undefined if it is not limited. */
export const selectColdLimit = (
    state: Pick<DispatchState, "coldBounds" | "configuration">,
    { server, coldUntilMs }: ServerState,
    atMs: number,
): number | undefined =>
    coldUntilMs > atMs && isColdLimited(state, server.service)
        ? state.configuration?.services.get(server.service)?.coldRequestsPerSecond
        : undefined;
