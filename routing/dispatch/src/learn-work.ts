import type { AttemptState } from "./attempt-state.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { estimateSlowChance } from "./estimate-slow-chance.js";
import type { RequestState } from "./request-state.js";
import { selectResponseBytes } from "./select-response-bytes.js";
import { selectWorkMs } from "./select-work-ms.js";

// One response moves an estimate by no more than this factor either way.
const MAX_RATIO = 2;
// A response that was likely slow says nothing about the work.
const MAX_SLOW_CHANCE = 0.5;

const mix = (before: number, now: number, weight: number): number => before * (1 - weight) + now * weight;

/** Learns the work and the size of a route's responses, and how much slower last slots are, from a success. */
export const learnWork = (
    draft: DispatchDraft,
    request: RequestState,
    opts: { readonly attempt: AttemptState; readonly bodyBytes: number; },
): void => {
    const { attempt, bodyBytes } = opts;
    const service = draft.service(request.service);
    const workMs = selectWorkMs(service, request.route);
    const { name } = request.route;
    const bytes = selectResponseBytes(service, request.route);
    const responseBytes = new Map(service.responseBytes).set(
        name,
        bytes === 0 ? bodyBytes : mix(bytes, bodyBytes, DISPATCH_LIMITS.bytesWeight),
    );
    if (estimateSlowChance(attempt, draft.atMs) > MAX_SLOW_CHANCE) {
        draft.setService({ ...service, responseBytes });
        return;
    }
    const ratio = (draft.atMs - attempt.startedAtMs) / Math.max(1, attempt.steadyMs);
    const bounded = Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, ratio));
    if (attempt.tookLastSlot) {
        const factor = Math.max(1, service.lastSlotFactor * bounded);
        const lastSlotFactor = mix(service.lastSlotFactor, factor, DISPATCH_LIMITS.lastSlotWeight);
        draft.setService({ ...service, responseBytes, lastSlotFactor });
        return;
    }
    const measuredMs = workMs * bounded;
    draft.setService({
        ...service,
        responseBytes,
        workMs: new Map(service.workMs).set(name, mix(workMs, measuredMs, DISPATCH_LIMITS.workWeight)),
    });
};
