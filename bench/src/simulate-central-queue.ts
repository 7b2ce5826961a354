import type { CentralQueueRequest } from "./central-queue-request.js";

/**
 * Latencies of one queue before all slots with perfect knowledge: requests start in the order of arrival, on the free
 * slot of the fastest server, as soon as there is one. No balancer without knowledge of the future does much better.
 */
export const simulateCentralQueue = (
    requests: readonly CentralQueueRequest[],
    opts: { /** Factor of the service time, one entry a slot. */ readonly slotFactors: readonly number[]; },
): readonly number[] => {
    const slots = [...opts.slotFactors].sort((a, b) => a - b).map(factor => ({ factor, freeAtMs: -Infinity }));
    return [...requests].sort((a, b) => a.arrivedAtMs - b.arrivedAtMs).map(request => {
        const earliest = slots.reduce((best, slot) => slot.freeAtMs < best.freeAtMs ? slot : best);
        const slot = slots.find(candidate => candidate.freeAtMs <= request.arrivedAtMs) ?? earliest;
        const startMs = Math.max(request.arrivedAtMs, slot.freeAtMs);
        slot.freeAtMs = startMs + request.serviceMs * slot.factor;
        return slot.freeAtMs - request.arrivedAtMs;
    });
};
