import type { LoadReport } from "@marigoldstall/core.types";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { ServerState } from "./server-state.js";

const PERCENT = 100;

/**
 * The first report after an attempt's start shows whether the VM may have turned slow before it: if it is slow now and
 * was not before, the change lies somewhere between the two reports.
 */
export const weighSlowness = (
    draft: DispatchDraft,
    server: ServerState,
    report: { readonly load: LoadReport; readonly measuredAtMs: number; },
): void => {
    const { slownessPercent } = report.load;
    if (server.ownInFlight === 0 || slownessPercent === undefined) {
        return;
    }
    const slowness = slownessPercent / PERCENT;
    for (const requestKey of draft.service(server.server.service).running) {
        const request = draft.request(requestKey);
        const attempts = request?.attempts.map(attempt => {
            const isConcerned = attempt.instanceId === server.server.instanceId && attempt.awaitsReport
                && attempt.startedAtMs <= report.measuredAtMs;
            if (!isConcerned) {
                return attempt;
            }
            const turnedSlow = slowness >= attempt.slowness * DISPATCH_LIMITS.slowFactor;
            const spanMs = attempt.reportAgeMs + report.measuredAtMs - attempt.startedAtMs;
            const slowChance = turnedSlow ? attempt.reportAgeMs / Math.max(1, spanMs) : 0;
            return { ...attempt, awaitsReport: false, slowChance };
        });
        if (request !== undefined && attempts !== undefined) {
            draft.setRequest({ ...request, attempts });
        }
    }
};
