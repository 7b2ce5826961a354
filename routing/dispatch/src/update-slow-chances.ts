import type { LoadReport } from "@marigoldstall/core.types";
import type { AttemptState } from "./attempt-state.js";
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
    const { instanceId } = server.server;
    const isAffected = (attempt: AttemptState): boolean =>
        attempt.instanceId === instanceId && attempt.awaitsReport && attempt.startedAtMs <= report.measuredAtMs;
    for (const requestKey of draft.service(server.server.service).running) {
        const request = draft.request(requestKey);
        if (request?.attempts.some(isAffected) !== true) {
            continue;
        }
        const attempts = request.attempts.map(attempt => {
            if (!isAffected(attempt)) {
                return attempt;
            }
            const becameSlow = slowness >= attempt.slowness * DISPATCH_LIMITS.slowFactor;
            const betweenReportsMs = attempt.reportAgeMs + report.measuredAtMs - attempt.startedAtMs;
            const slowChance = becameSlow ? attempt.reportAgeMs / Math.max(1, betweenReportsMs) : 0;
            return { ...attempt, awaitsReport: false, slowChance };
        });
        draft.setRequest({ ...request, attempts });
    }
};
