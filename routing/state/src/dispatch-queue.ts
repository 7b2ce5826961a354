import type { Urgency } from "@marigoldstall/core.types";
import { buildCandidates } from "./build-candidates.js";
import { effectivePatientLimit } from "./effective-patient-limit.js";
import type { Mutable } from "./mutable.js";
import { REASON_CODES } from "./reason-codes.js";
import { rejectRequest } from "./reject-request.js";
import type { RequestState } from "./request-state.js";
import { retryBudget } from "./retry-budget.js";
import type { RoutingDraft } from "./routing-draft.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import { scheduleWake } from "./schedule-wake.js";
import type { ServiceState } from "./service-state.js";
import { startAttempt } from "./start-attempt.js";

const URGENCIES: readonly Urgency[] = ["urgent", "normal", "patient"];

// When all slots are busy, one becomes free within about half a service time. A longer wait means that the load reports
// are wrong, and that the queue of a backend server is the better place to wait.
const isOverdue = (service: ServiceState, request: RequestState, atMs: number): boolean =>
    request.classTargets.urgency !== "patient"
    && atMs - request.arrivedAtMs >= ROUTING_LIMITS.slotWaitMedianRatio * (service.medianLatencyMs ?? Infinity);

// Starts an attempt if a backend server has capacity, or rejects a retry that exceeds the budget. Returns whether the
// request has left the queue.
const tryStart = (draft: RoutingDraft, service: Mutable<ServiceState>, request: RequestState): boolean => {
    if (request.nextAttemptIsRetry && !retryBudget.allowsRetry(service, draft.atMs)) {
        rejectRequest(draft, service, request, {
            outcome: request.mayHaveRun ? "unknown" : "not-run",
            statusCode: 503,
            reasonCode: REASON_CODES.overloaded,
            retryAfterMs: ROUTING_LIMITS.retryAfterMs,
        });
        return true;
    }
    const { candidates, trial } = buildCandidates(service, request, {
        atMs: draft.atMs,
        availabilityZone: draft.base.availabilityZone,
    });
    const choice = trial ?? draft.base.policy.select({
        candidates,
        urgency: request.classTargets.urgency,
        reserveSlot: service.reserveSlot,
        overdue: isOverdue(service, request, draft.atMs),
        random: draft.nextRandom(),
        cursor: service.selectionCount,
    });
    if (choice === undefined) {
        return false;
    }
    startAttempt(draft, service, request, {
        address: choice.address,
        candidates: candidates.map(candidate => candidate.address),
        kind: trial !== undefined ? "trial" : request.attemptsStarted > 0 ? "retry" : "first",
    });
    return true;
};

/** Starts queued requests, the most urgent first, until one has to wait. */
export const dispatchQueue = (draft: RoutingDraft, service: Mutable<ServiceState>): void => {
    for (const urgency of URGENCIES) {
        let entry = service.queue[urgency][0];
        while (entry !== undefined) {
            const request = draft.request(entry.requestId);
            const full = urgency === "patient" && service.patientInFlight >= effectivePatientLimit(service, draft.atMs);
            // Less urgent requests wait as well, or they would take the next free slot.
            if (request === undefined || full || !tryStart(draft, service, request)) {
                scheduleWake(service, draft.atMs + ROUTING_LIMITS.queueRecheckMs);
                return;
            }
            entry = service.queue[urgency][0];
        }
    }
};
