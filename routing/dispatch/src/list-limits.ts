import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { DispatchState } from "./dispatch-state.js";

interface ListedLimit {
    readonly instanceId: string;
    readonly startedAtUnixMs: number;
    readonly perSecond: number | undefined;
    readonly ageMs: number;
}

/** The limits that servers state, and those that ended a short time ago, for other VMs. */
export const listLimits = (state: DispatchState, atMs: number): readonly ListedLimit[] => {
    const limits: ListedLimit[] = [];
    for (const { servers } of state.services.values()) {
        for (const { server, requestLimit: { perSecond, statedAtMs } } of servers.values()) {
            const ageMs = atMs - statedAtMs;
            const isTold = perSecond !== undefined || ageMs <= DISPATCH_LIMITS.endedLimitToldForMs;
            if (isTold && limits.length < DISPATCH_LIMITS.maxLimitFindings) {
                const { instanceId, startedAtUnixMs } = server;
                limits.push({ instanceId, startedAtUnixMs, perSecond, ageMs });
            }
        }
    }
    return limits;
};
