import { applyDirectives } from "./apply-directives.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import type { DispatchEvent } from "./dispatch-event.js";
import { endAttempt } from "./end-attempt.js";
import { recordFailure } from "./record-failure.js";
import { recordLoad } from "./record-load.js";
import { recordRoundTrip } from "./record-round-trip.js";
import { resumeRequest } from "./resume-request.js";
import { selectAttempt } from "./select-attempt.js";

type ServerChecked = Extract<DispatchEvent, { readonly type: "server-checked"; }>;

const CHECK_FAILURE_WEIGHT = 0.5;

/**
 * Handles the result of a preflight check: sends the request to this server or to a better one, or returns it to the
 * queue.
 */
export const onServerChecked = (draft: DispatchDraft, event: ServerChecked): void => {
    const found = selectAttempt(draft.state, event.attemptId);
    if (found === undefined) {
        return;
    }
    const { attempt } = found;
    const { requestKey, service: name } = found.request;
    const { instanceId } = attempt;
    if (!event.isAnswered) {
        recordFailure(draft, instanceId, { reason: "check-failed", weight: CHECK_FAILURE_WEIGHT });
    }
    else {
        draft.updateServer(instanceId, { isUnhealthy: !event.isHealthy });
        applyDirectives(draft, instanceId, { directives: event.directives, isHealthCheck: true });
        recordRoundTrip(draft, attempt);
        if (event.load === undefined) {
            draft.updateService(name, { reportsLoad: false });
        }
        else {
            recordLoad(draft, instanceId, { load: event.load, measuredAtMs: draft.atMs });
        }
    }
    const ended = endAttempt(draft, draft.request(requestKey) ?? found.request, attempt);
    const request = !event.isAnswered
        ? { ...ended, triedInstanceIds: [...ended.triedInstanceIds, instanceId] }
        : ended;
    resumeRequest(draft, request, { attempt, hasPermit: false });
};
