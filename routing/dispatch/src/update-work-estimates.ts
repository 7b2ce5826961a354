import type { AttemptState } from "./attempt-state.js";
import type { DispatchDraft } from "./dispatch-draft.js";
import { DISPATCH_LIMITS } from "./dispatch-limits.js";
import { estimateSlowChance } from "./estimate-slow-chance.js";
import type { RequestState } from "./request-state.js";
import { selectResponseBytes } from "./select-response-bytes.js";
import { selectWorkMs } from "./select-work-ms.js";

// One response changes an estimate by no more than this factor in either direction. The first response may change it
// more, as it replaces a guess.
const MAX_RATIO = 2;
const INITIAL_MAX_RATIO = 4;
const INITIAL_SAMPLES = 1;
// The duration on a VM that was probably slow says nothing about the work.
const MAX_SLOW_CHANCE = 0.5;

const movingAverage = (average: number, value: number, weight: number): number =>
    average * (1 - weight) + value * weight;

/** Updates the estimates of a route's work and response size, or of the last-slot factor, from a successful response. */
export const updateWorkEstimates = (
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
        bytes === 0 ? bodyBytes : movingAverage(bytes, bodyBytes, DISPATCH_LIMITS.responseBytesWeight),
    );
    if (estimateSlowChance(attempt, draft.atMs) > MAX_SLOW_CHANCE) {
        draft.setService({ ...service, responseBytes });
        return;
    }
    const ratio = (draft.atMs - attempt.startedAtMs) / Math.max(1, attempt.reportBasedMs);
    const samples = (service.workSamples.get(name) ?? 0) + 1;
    const maxRatio = samples <= INITIAL_SAMPLES ? INITIAL_MAX_RATIO : MAX_RATIO;
    const bounded = Math.min(maxRatio, Math.max(1 / maxRatio, ratio));
    if (attempt.tookLastSlot) {
        const factor = Math.max(1, service.lastSlotFactor * bounded);
        const lastSlotFactor = movingAverage(service.lastSlotFactor, factor, DISPATCH_LIMITS.lastSlotFactorWeight);
        draft.setService({ ...service, responseBytes, lastSlotFactor });
        return;
    }
    const measuredMs = workMs * bounded;
    // A VM of a large fleet sees few responses, so the first ones count more.
    const weight = Math.max(DISPATCH_LIMITS.workWeight, 1 / samples);
    draft.setService({
        ...service,
        responseBytes,
        workMs: new Map(service.workMs).set(name, movingAverage(workMs, measuredMs, weight)),
        workSamples: new Map(service.workSamples).set(name, samples),
    });
};
