import type { Mutable } from "./mutable.js";
import { ROUTING_LIMITS } from "./routing-limits.js";
import type { ServiceState } from "./service-state.js";

const missesTarget = (service: ServiceState, second: number): boolean => {
    for (const classState of service.classes.values()) {
        const { targets } = classState;
        const counts = classState.seconds.find(candidate => candidate.second === second);
        if (targets.urgency === "urgent" && counts !== undefined) {
            const missed = counts.late + counts.rejected + counts.unknown;
            const ended = counts.completed + counts.rejected + counts.unknown;
            const allowed = ended * (1 - targets.lateness.percentile / 100);
            if (missed >= ROUTING_LIMITS.missedRequestsAtLeast && missed > allowed) {
                return true;
            }
        }
    }
    return false;
};

/** Highest number of patient requests in flight when nothing else limits them: one slot of each backend server. */
const highestPatientLimit = (service: ServiceState): number => Math.max(1, service.servers.length);

/**
 * Once a second, adapts the limit of patient work (halved when an urgent class missed its target over the last
 * second, one more otherwise) and the pressure that other daemons are told.
 */
export const evaluateSecond = (service: Mutable<ServiceState>, atMs: number): void => {
    if (atMs < service.nextEvaluationAtMs) {
        return;
    }
    const second = Math.floor(atMs / 1000);
    const highest = highestPatientLimit(service);
    if (service.nextEvaluationAtMs === -Infinity) {
        service.patientLimit = highest;
    }
    else if (missesTarget(service, second - 1)) {
        service.patientLimit = Math.max(1, Math.floor(Math.min(service.patientLimit, highest) / 2));
        service.pressureLevel = Math.min(1, service.pressureLevel + ROUTING_LIMITS.pressureRise);
    }
    else {
        const passed = 1 + second - Math.floor(service.nextEvaluationAtMs / 1000);
        service.patientLimit = Math.min(highest, service.patientLimit + passed);
        service.pressureLevel = Math.max(0, service.pressureLevel - ROUTING_LIMITS.pressureFall * passed);
    }
    service.nextEvaluationAtMs = (second + 1) * 1000;
};
