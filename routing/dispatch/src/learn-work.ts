import type { AttemptState } from "./attempt-state.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import type { RequestState } from "./request-state.js";
import { selectResponseBytes } from "./select-response-bytes.js";
import { selectWorkMs } from "./select-work-ms.js";

/** Learns the work and the size of a route's responses from a successful attempt. */
export const learnWork = (
    draft: DispatchDraft,
    request: RequestState,
    opts: { readonly attempt: AttemptState; readonly bodyBytes: number; },
): void => {
    const { attempt, bodyBytes } = opts;
    const service = draft.service(request.service);
    const workMs = selectWorkMs(service, request.route);
    const elapsedMs = draft.atMs - attempt.startedAtMs;
    // What the response took against what was expected, within bounds, so that one bad response teaches little.
    const measuredMs = workMs * Math.min(2, Math.max(0.5, elapsedMs / Math.max(1, attempt.expectedMs)));
    const { name } = request.route;
    const bytes = selectResponseBytes(service, request.route);
    const knownBytes = bytes === 0 ? bodyBytes : bytes;
    draft.setService({
        ...service,
        workMs: new Map(service.workMs).set(name, mix(workMs, measuredMs, DISPATCH_LIMITS.workWeight)),
        responseBytes: new Map(service.responseBytes).set(
            name,
            mix(knownBytes, bodyBytes, DISPATCH_LIMITS.bytesWeight),
        ),
    });
};

const mix = (before: number, now: number, weight: number): number => before * (1 - weight) + now * weight;
