import type { DispatchState } from "./dispatch-state.js";
import { selectColdLimit } from "./select-cold-limit.js";
import type { ServerState } from "./server-state.js";

/** Permits per second for a server that states a limit or is cold. Undefined if its requests need no permit. */
export const selectPermitRate = (
    state: Pick<DispatchState, "coldBounds" | "configuration">,
    server: ServerState,
    atMs: number,
): number | undefined => {
    const coldPerSecond = selectColdLimit(state, server, atMs);
    const { perSecond } = server.requestLimit;
    return coldPerSecond === undefined || perSecond === undefined
        ? perSecond ?? coldPerSecond
        : Math.min(perSecond, coldPerSecond);
};
