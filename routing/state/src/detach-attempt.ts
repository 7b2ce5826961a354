import type { AttemptState } from "./attempt-state.js";
import { editServer } from "./edit-server.js";
import type { Mutable } from "./mutable.js";
import type { RequestState } from "./request-state.js";
import type { ServiceState } from "./service-state.js";

/** Removes an attempt that has ended from its request and from the in-flight counts. */
export const detachAttempt = (
    service: Mutable<ServiceState>,
    request: RequestState,
    attempt: AttemptState,
): RequestState => {
    const server = editServer(service, attempt.address);
    if (server !== undefined) {
        server.ownInFlight = Math.max(0, server.ownInFlight - 1);
    }
    if (request.classTargets.urgency === "patient") {
        service.patientInFlight = Math.max(0, service.patientInFlight - 1);
    }
    return { ...request, attempts: request.attempts.filter(other => other.attemptId !== attempt.attemptId) };
};
