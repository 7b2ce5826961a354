import { detachAttempt } from "./detach-attempt.js";
import { dispatchQueue } from "./dispatch-queue.js";
import { evaluateUrgentTargets } from "./evaluate-urgent-targets.js";
import { findAttempt } from "./find-attempt.js";
import { recordClassEvent } from "./record-class-event.js";
import { rollingCounts } from "./rolling-counts.js";
import type { RoutingDraft } from "./routing-draft.js";

/** Handles the end of the relayed response. */
export const onAttemptCompleted = (draft: RoutingDraft, attemptId: string): void => {
    const found = findAttempt(draft, attemptId);
    if (found === undefined || found.request.phase !== "relaying") {
        return;
    }
    const { service, request, attempt } = found;
    const { atMs } = draft;
    evaluateUrgentTargets(service, atMs);
    detachAttempt(service, request, attempt);
    service.completions = rollingCounts.add(service.completions, atMs);
    recordClassEvent(service, request.classTargets.name, {
        atMs,
        count: "completed",
        latencyMs: atMs - request.arrivedAtMs,
    });
    draft.removeRequest(request.requestId);
    draft.emit({ type: "finish-request", requestId: request.requestId, outcome: "completed" });
    dispatchQueue(draft, service);
};
