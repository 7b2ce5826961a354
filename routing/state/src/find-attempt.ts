import type { AttemptState } from "./attempt-state.js";
import type { Mutable } from "./mutable.js";
import type { RequestState } from "./request-state.js";
import type { RoutingDraft } from "./routing-draft.js";
import type { ServiceState } from "./service-state.js";

/** Finds an attempt that has not ended, with its request and service. */
export const findAttempt = (
    draft: RoutingDraft,
    attemptId: string,
):
    | {
        readonly service: Mutable<ServiceState>;
        readonly request: RequestState;
        readonly attempt: AttemptState;
    }
    | undefined => {
    // An attempt id consists of the request id, a dot and a number.
    const request = draft.request(attemptId.slice(0, Math.max(0, attemptId.lastIndexOf("."))));
    const attempt = request?.attempts.find(other => other.attemptId === attemptId);
    const service = request === undefined ? undefined : draft.service(request.classTargets.service);
    if (request === undefined || attempt === undefined || service === undefined) {
        return undefined;
    }
    return { service, request, attempt };
};
