interface Task {
    readonly atMs: number;
    readonly sequence: number;
    readonly run: () => void;
}

const isBefore = (left: Task, right: Task): boolean =>
    left.atMs < right.atMs || (left.atMs === right.atMs && left.sequence < right.sequence);

/** Runs tasks in the order of simulated time; tasks for the same time run in the order of their scheduling. */
export class Scheduler {
    nowMs = 0;
    private sequence = 0;
    private readonly heap: Task[] = [];

    at(atMs: number, run: () => void): void {
        this.sequence += 1;
        const task = { atMs: Math.max(atMs, this.nowMs), sequence: this.sequence, run };
        let index = this.heap.push(task) - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!isBefore(task, this.heap[parent]!)) {
                break;
            }
            this.heap[index] = this.heap[parent]!;
            index = parent;
        }
        this.heap[index] = task;
    }

    runUntil(endMs: number): void {
        while (this.heap.length > 0 && this.heap[0]!.atMs <= endMs) {
            const task = this.pop();
            this.nowMs = task.atMs;
            task.run();
        }
        this.nowMs = endMs;
    }

    private pop(): Task {
        const first = this.heap[0]!;
        const last = this.heap.pop()!;
        if (this.heap.length > 0) {
            let index = 0;
            for (;;) {
                let child = 2 * index + 1;
                if (child >= this.heap.length) {
                    break;
                }
                if (child + 1 < this.heap.length && isBefore(this.heap[child + 1]!, this.heap[child]!)) {
                    child += 1;
                }
                if (!isBefore(this.heap[child]!, last)) {
                    break;
                }
                this.heap[index] = this.heap[child]!;
                index = child;
            }
            this.heap[index] = last;
        }
        return first;
    }
}
