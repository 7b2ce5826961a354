import type { Mutable } from "./mutable.js";
import type { QueueEntry } from "./queue-entry.js";
import type { RequestState } from "./request-state.js";
import type { ServiceState } from "./service-state.js";

const isBefore = (left: QueueEntry, right: QueueEntry): boolean =>
    left.deadlineAtMs < right.deadlineAtMs
    || left.deadlineAtMs === right.deadlineAtMs && left.sequence < right.sequence;

// Returns the first index whose entry does not sort before `entry`.
const findInsertIndex = (entries: readonly QueueEntry[], entry: QueueEntry): number => {
    let low = 0;
    let high = entries.length;
    while (low < high) {
        const middle = low + high >>> 1;
        const candidate = entries[middle];
        if (candidate !== undefined && isBefore(candidate, entry)) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
};

/** Operations on the queue of a service. */
export const requestQueues = {
    length: (service: ServiceState): number =>
        service.queue.urgent.length + service.queue.normal.length + service.queue.patient.length,

    insert: (service: Mutable<ServiceState>, request: RequestState): void => {
        const urgency = request.classTargets.urgency;
        const entries = service.queue[urgency];
        const entry = {
            requestId: request.requestId,
            deadlineAtMs: request.deadlineAtMs,
            sequence: request.sequence,
        };
        const index = findInsertIndex(entries, entry);
        service.queue = { ...service.queue, [urgency]: entries.toSpliced(index, 0, entry) };
    },

    remove: (service: Mutable<ServiceState>, request: RequestState): void => {
        const urgency = request.classTargets.urgency;
        const entries = service.queue[urgency];
        const index = findInsertIndex(entries, request);
        if (entries[index]?.requestId === request.requestId) {
            service.queue = { ...service.queue, [urgency]: entries.toSpliced(index, 1) };
        }
    },
};
