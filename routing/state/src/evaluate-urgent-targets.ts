import type { Mutable } from "./mutable.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import type { ServiceState } from "./service-state.js";

const missesUrgentTarget = (service: ServiceState, second: number): boolean => {
    for (const classState of service.classes.values()) {
        const { targets } = classState;
        const counts = classState.seconds.find(candidate => candidate.second === second);
        if (targets.urgency === "urgent" && counts !== undefined) {
            const missed = counts.late + counts.rejected + counts.unknown;
            const ended = counts.completed + counts.rejected + counts.unknown;
            const allowed = ended * (1 - targets.lateness.percentile / 100);
            if (missed >= ROUTING_LIMITS.minMissedRequests && missed > allowed) {
                return true;
            }
        }
    }
    return false;
};

/** Upper bound of patient requests in flight: one slot of each backend server. */
const maxPatientLimit = (service: ServiceState): number => Math.max(1, service.servers.length);

/**
 * Once a second, adjusts the limit of patient requests and the pressure that is reported to other daemons. The limit is
 * halved when an urgent class missed its target over the last second and raised by one a second otherwise.
 */
export const evaluateUrgentTargets = (service: Mutable<ServiceState>, atMs: number): void => {
    if (atMs < service.nextEvaluationAtMs) {
        return;
    }
    const second = Math.floor(atMs / 1000);
    const maxLimit = maxPatientLimit(service);
    if (service.nextEvaluationAtMs === -Infinity) {
        service.patientLimit = maxLimit;
    }
    else if (missesUrgentTarget(service, second - 1)) {
        service.patientLimit = Math.max(1, Math.floor(Math.min(service.patientLimit, maxLimit) / 2));
        service.pressureLevel = Math.min(1, service.pressureLevel + ROUTING_LIMITS.pressureIncrement);
    }
    else {
        const elapsedSeconds = 1 + second - Math.floor(service.nextEvaluationAtMs / 1000);
        service.patientLimit = Math.min(maxLimit, service.patientLimit + elapsedSeconds);
        service.pressureLevel = Math.max(0, service.pressureLevel - ROUTING_LIMITS.pressureDecrement * elapsedSeconds);
    }
    service.nextEvaluationAtMs = (second + 1) * 1000;
};
