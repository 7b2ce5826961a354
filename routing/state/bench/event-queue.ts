type ScheduledEvent = { readonly atMs: number; readonly order: number; readonly run: () => void; };

const isBefore = (left: ScheduledEvent, right: ScheduledEvent): boolean =>
    left.atMs < right.atMs || left.atMs === right.atMs && left.order < right.order;

/** Priority queue of simulated events, ordered by time and then by insertion. */
export class EventQueue {
    nowMs = 0;
    private readonly heap: ScheduledEvent[] = [];
    private scheduledCount = 0;

    schedule(delayMs: number, run: () => void): void {
        this.scheduledCount += 1;
        const entry = { atMs: this.nowMs + Math.max(0, delayMs), order: this.scheduledCount, run };
        let index = this.heap.length;
        this.heap.push(entry);
        while (index > 0) {
            const parentIndex = index - 1 >> 1;
            const parent = this.heap[parentIndex];
            if (parent === undefined || !isBefore(entry, parent)) {
                break;
            }
            this.heap[index] = parent;
            index = parentIndex;
        }
        this.heap[index] = entry;
    }

    runUntil(endMs: number): void {
        for (let next = this.heap[0]; next !== undefined && next.atMs <= endMs; next = this.heap[0]) {
            this.removeFirst();
            this.nowMs = next.atMs;
            next.run();
        }
    }

    private removeFirst(): void {
        const last = this.heap.pop();
        if (last === undefined || this.heap.length === 0) {
            return;
        }
        let index = 0;
        for (;;) {
            let childIndex = 2 * index + 1;
            const right = this.heap[childIndex + 1];
            let child = this.heap[childIndex];
            if (child !== undefined && right !== undefined && isBefore(right, child)) {
                childIndex += 1;
                child = right;
            }
            if (child === undefined || !isBefore(child, last)) {
                break;
            }
            this.heap[index] = child;
            index = childIndex;
        }
        this.heap[index] = last;
    }
}
