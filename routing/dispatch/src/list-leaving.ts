import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchState } from "./dispatch-state.js";

interface LeavingServer {
    readonly instanceId: string;
    readonly startedAtUnixMs: number;
}

/** The servers that have said lately that they are about to end, for other VMs. */
export const listLeaving = (state: DispatchState, atMs: number): readonly LeavingServer[] =>
    [...state.leavingStarts]
        .filter(([, { learnedAtMs }]) => atMs - learnedAtMs <= DISPATCH_LIMITS.leavingToldForMs)
        .slice(-DISPATCH_LIMITS.maxLeavingFindings)
        .map(([instanceId, { startedAtUnixMs }]) => ({ instanceId, startedAtUnixMs }));
