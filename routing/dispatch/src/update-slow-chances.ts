import type { LoadReport } from "@marigoldstall/core.types";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { ServerState } from "./server-state.js";

const PERCENT = 100;

/**
 * Updates the slow chance of attempts from the first load report after their start: if the VM is slow now and was not
 * in the report before, it became slow at some point between the two reports.
 */
export const updateSlowChances = (
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
            const isAffected = attempt.instanceId === server.server.instanceId && attempt.awaitsReport
                && attempt.startedAtMs <= report.measuredAtMs;
            if (!isAffected) {
                return attempt;
            }
            const becameSlow = slowness >= attempt.slowness * DISPATCH_LIMITS.slowFactor;
            const betweenReportsMs = attempt.reportAgeMs + report.measuredAtMs - attempt.startedAtMs;
            const slowChance = becameSlow ? attempt.reportAgeMs / Math.max(1, betweenReportsMs) : 0;
            return { ...attempt, awaitsReport: false, slowChance };
        });
        if (request !== undefined && attempts !== undefined) {
            draft.setRequest({ ...request, attempts });
        }
    }
};
