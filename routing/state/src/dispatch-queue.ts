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
import type { ServiceState } from "./service-state.js";
import { startAttempt } from "./start-attempt.js";
import { wakeAt } from "./wake-at.js";

const LEVELS: readonly Urgency[] = ["urgent", "normal", "patient"];

// A slot frees within about half a service time where all are taken. A longer wait means that the load reports are
// wrong, and the backend servers' own queues are the better place to wait.
const isOverdue = (service: ServiceState, request: RequestState, atMs: number): boolean =>
    request.classTargets.urgency !== "patient"
    && atMs - request.arrivedAtMs >= ROUTING_LIMITS.waitForSlotShare * (service.medianLatencyMs ?? Infinity);

// Starts an attempt of the request if a backend server has room for it.
const tryStart = (draft: RoutingDraft, service: Mutable<ServiceState>, request: RequestState): boolean => {
    if (request.retrying && !retryBudget.allowsRetry(service, draft.atMs)) {
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
        cursor: service.selections,
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

/** Starts waiting requests, the most urgent first, until one has to wait. */
export const dispatchQueue = (draft: RoutingDraft, service: Mutable<ServiceState>): void => {
    for (const urgency of LEVELS) {
        let entry = service.queue[urgency][0];
        while (entry !== undefined) {
            const request = draft.request(entry.requestId);
            const full = urgency === "patient" && service.patientInFlight >= effectivePatientLimit(service, draft.atMs);
            // Less urgent work waits too, or it would take the slot that frees next.
            if (request === undefined || full || !tryStart(draft, service, request)) {
                wakeAt(service, draft.atMs + ROUTING_LIMITS.queueRecheckMs);
                return;
            }
            entry = service.queue[urgency][0];
        }
    }
};
