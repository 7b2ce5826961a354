import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchState } from "./dispatch-state.js";

interface LeavingServer {
    readonly instanceId: string;
    readonly startedAtUnixMs: number;
}

/** The servers that have said that they are about to end, for other VMs: the latest ones. */
export const listLeaving = (state: DispatchState): readonly LeavingServer[] =>
    [...state.leavingStarts]
        .slice(-DISPATCH_LIMITS.maxLeavingFindings)
        .map(([instanceId, startedAtUnixMs]) => ({ instanceId, startedAtUnixMs }));
