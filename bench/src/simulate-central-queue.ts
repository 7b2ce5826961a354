import type { CentralQueueRequest } from "./central-queue-request.js";

/**
 * Returns the latencies of a central queue in front of all slots, with perfect knowledge of their state. Requests start
 * in order of arrival, as soon as a slot is free, on the free slot of the fastest server. A load balancer that cannot
 * see the future does not do much better.
 */
export const simulateCentralQueue = (
    requests: readonly CentralQueueRequest[],
    opts: { /** Factor by which each slot multiplies the service time. */ readonly slotFactors: readonly number[]; },
): readonly number[] => {
    const slots = [...opts.slotFactors].sort((a, b) => a - b).map(factor => ({ factor, freeAtMs: -Infinity }));
    return [...requests].sort((a, b) => a.arrivedAtMs - b.arrivedAtMs).map(request => {
        const earliest = slots.reduce((best, slot) => slot.freeAtMs < best.freeAtMs ? slot : best);
        const slot = slots.find(candidate => candidate.freeAtMs <= request.arrivedAtMs) ?? earliest;
        const startMs = Math.max(request.arrivedAtMs, slot.freeAtMs);
        slot.freeAtMs = startMs + request.serviceTimeMs * slot.factor;
        return slot.freeAtMs - request.arrivedAtMs;
    });
};
