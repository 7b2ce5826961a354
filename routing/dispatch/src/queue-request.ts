import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { drainQueue } from "./drain-queue.js";
import { rejectHeldBack } from "./reject-held-back.js";
import { rejectTooLateForStop } from "./reject-too-late-for-stop.js";
import { requestLoads } from "./request-loads.js";

/** Adds a new request to the queue of its service, and sends what can be sent. */
export const queueRequest = (draft: DispatchDraft, requestKey: string): void => {
    const request = draft.request(requestKey);
    if (request === undefined) {
        return;
    }
    const { service: name, route } = request;
    const service = draft.service(name);
    draft.setService({ ...service, queue: [...service.queue, requestKey] });
    if (rejectHeldBack(draft, request) || rejectTooLateForStop(draft, request)) {
        return;
    }
    if (draft.atMs - service.loadsAnsweredAtMs > DISPATCH_LIMITS.loadsFreshForMs) {
        requestLoads(draft, name, { route, minIntervalMs: DISPATCH_LIMITS.loadAnswerTimeoutMs });
    }
    drainQueue(draft, name);
};
