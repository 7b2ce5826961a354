import { detachAttempt } from "./detach-attempt.js";
import { dispatchQueue } from "./dispatch-queue.js";
import { evaluateSecond } from "./evaluate-second.js";
import { findAttempt } from "./find-attempt.js";
import { recordClass } from "./record-class.js";
import { rollingCounts } from "./rolling-counts.js";
import type { RoutingDraft } from "./routing-draft.js";

/** The whole response of the attempt that is relayed has arrived. */
export const onAttemptCompleted = (draft: RoutingDraft, attemptId: string): void => {
    const found = findAttempt(draft, attemptId);
    if (found === undefined || found.request.phase !== "relaying") {
        return;
    }
    const { service, request, attempt } = found;
    const { atMs } = draft;
    evaluateSecond(service, atMs);
    detachAttempt(service, request, attempt);
    service.completions = rollingCounts.add(service.completions, atMs);
    recordClass(service, request.classTargets.name, {
        atMs,
        count: "completed",
        latencyMs: atMs - request.arrivedAtMs,
    });
    draft.removeRequest(request.requestId);
    draft.emit({ type: "finish-request", requestId: request.requestId, outcome: "completed" });
    dispatchQueue(draft, service);
};
