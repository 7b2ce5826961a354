import type { CancelState } from "./cancel-state.js";
import type { Job } from "./job.js";
import type { RefusalReason } from "./refusal-reason.js";

type JobState = "receiving" | "queued" | "running" | "finished" | "refused";

class Entry {
    readonly job: Job;
    state: JobState = "receiving";
    timer: NodeJS.Timeout | undefined;

    constructor(job: Job) {
        this.job = job;
    }
}

/** Bounds the memory of a long run; far above what is in flight at one time. */
const KNOWN_REQUESTS = 200_000;

/** Slots and queue of one instance of a backend server. */
export class Executor {
    private readonly slots: number;
    private readonly queueLimit: number;
    private readonly onLoadChange: () => void;
    private readonly byRequestId = new Map<string, Entry[]>();
    private readonly blocked = new Set<string>();
    private queue: Entry[] = [];
    private readonly runningEntries = new Set<Entry>();

    constructor(opts: {
        readonly slots: number;
        readonly queueLimit: number;
        readonly onLoadChange: () => void;
    }) {
        this.slots = opts.slots;
        this.queueLimit = opts.queueLimit;
        this.onLoadChange = opts.onLoadChange;
    }

    get inFlight(): number {
        return this.runningEntries.size;
    }

    get queued(): number {
        return this.queue.length;
    }

    /** Makes a request known whose body has not arrived yet. */
    receive(job: Job): void {
        const known = this.byRequestId.get(job.requestId) ?? [];
        this.byRequestId.set(job.requestId, [...known, new Entry(job)]);
        const oldest = this.byRequestId.keys().next().value;
        if (this.byRequestId.size > KNOWN_REQUESTS && oldest !== undefined) {
            this.byRequestId.delete(oldest);
            this.blocked.delete(oldest);
        }
    }

    /** Runs or queues a received request, or refuses it. */
    submit(job: Job): void {
        const entry = this.find(job);
        if (entry === undefined || entry.state !== "receiving") {
            return;
        }
        if (this.blocked.has(job.requestId)) {
            this.refuse(entry, "cancelled");
        }
        else if (job.deadlineAtMs !== undefined && performance.now() >= job.deadlineAtMs) {
            this.refuse(entry, "deadline");
        }
        else if (this.runningEntries.size < this.slots) {
            this.run(entry);
        }
        else if (this.queue.length >= this.queueLimit) {
            this.refuse(entry, "shed");
        }
        else {
            this.enqueue(entry);
        }
    }

    /** Ends a request that no longer has a reason to run: it is taken out of the queue, or its run is stopped. */
    abandon(job: Job, opts: { readonly reason: RefusalReason; }): void {
        const entry = this.find(job);
        if (entry?.state === "running") {
            this.stop(entry);
        }
        else if (entry?.state === "queued" || entry?.state === "receiving") {
            this.refuse(entry, opts.reason);
        }
    }

    cancel(requestId: string): CancelState {
        const entries = this.byRequestId.get(requestId) ?? [];
        this.blocked.add(requestId);
        const states = new Set(entries.map(entry => entry.state));
        for (const entry of entries) {
            this.abandon(entry.job, { reason: "cancelled" });
        }
        if (states.has("running")) {
            return "running";
        }
        if (states.has("finished")) {
            return "finished";
        }
        return entries.length > 0 ? "not-started" : "never-seen";
    }

    /** Ends everything, at a crash. */
    abandonAll(): void {
        for (const entry of [...this.queue, ...this.runningEntries]) {
            this.abandon(entry.job, { reason: "crashed" });
        }
    }

    private find(job: Job): Entry | undefined {
        return this.byRequestId.get(job.requestId)?.find(entry => entry.job === job);
    }

    private enqueue(entry: Entry): void {
        entry.state = "queued";
        this.queue.push(entry);
        const { deadlineAtMs } = entry.job;
        if (deadlineAtMs !== undefined) {
            entry.timer = setTimeout(() => this.refuse(entry, "deadline"), deadlineAtMs - performance.now());
        }
        this.onLoadChange();
    }

    private run(entry: Entry): void {
        clearTimeout(entry.timer);
        entry.state = "running";
        this.runningEntries.add(entry);
        const finish = () => {
            this.release(entry);
            entry.job.onFinish();
        };
        const runMs = entry.job.onStart();
        // A timer takes at least a millisecond.
        if (runMs === 0) {
            setImmediate(() => entry.state === "running" && finish());
        }
        else {
            entry.timer = setTimeout(finish, runMs);
        }
        this.onLoadChange();
    }

    private stop(entry: Entry): void {
        clearTimeout(entry.timer);
        this.release(entry);
        entry.job.onStopped();
    }

    private release(entry: Entry): void {
        entry.state = "finished";
        this.runningEntries.delete(entry);
        const next = this.queue.shift();
        if (next === undefined) {
            this.onLoadChange();
        }
        else if (next.job.deadlineAtMs !== undefined && performance.now() >= next.job.deadlineAtMs) {
            this.refuse(next, "deadline");
            this.release(entry);
        }
        else {
            this.run(next);
        }
    }

    private refuse(entry: Entry, reason: RefusalReason): void {
        clearTimeout(entry.timer);
        entry.state = "refused";
        this.queue = this.queue.filter(other => other !== entry);
        this.onLoadChange();
        entry.job.onRefused(reason);
    }
}
