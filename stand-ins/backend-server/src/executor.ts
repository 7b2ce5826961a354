import type { CancelState } from "./cancel-state.js";
import type { Job } from "./job.js";
import type { RefusalReason } from "./refusal-reason.js";

type JobState = "receiving" | "queued" | "running" | "finished" | "refused";

class JobEntry {
    readonly job: Job;
    state: JobState = "receiving";
    timer: NodeJS.Timeout | undefined;

    constructor(job: Job) {
        this.job = job;
    }
}

/** Limits memory use in long runs. Far more than the number of requests in flight at any time. */
const MAX_KNOWN_REQUESTS = 200_000;

/** Runs the requests of one backend server instance in a limited number of slots, with a bounded queue. */
export class Executor {
    private readonly slots: number;
    private readonly queueLimit: number;
    private readonly onLoadChange: () => void;
    private readonly entriesByRequestId = new Map<string, JobEntry[]>();
    private readonly cancelledRequestIds = new Set<string>();
    private queue: JobEntry[] = [];
    private readonly runningEntries = new Set<JobEntry>();

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

    /** Registers a request whose body has not been received yet, so that it can be cancelled. */
    receive(job: Job): void {
        const entries = this.entriesByRequestId.get(job.requestId) ?? [];
        this.entriesByRequestId.set(job.requestId, [...entries, new JobEntry(job)]);
        const oldest = this.entriesByRequestId.keys().next().value;
        if (this.entriesByRequestId.size > MAX_KNOWN_REQUESTS && oldest !== undefined) {
            this.entriesByRequestId.delete(oldest);
            this.cancelledRequestIds.delete(oldest);
        }
    }

    /** Runs, queues or refuses a registered request once its body has been received. */
    submit(job: Job): void {
        const entry = this.find(job);
        if (entry === undefined || entry.state !== "receiving") {
            return;
        }
        if (this.cancelledRequestIds.has(job.requestId)) {
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

    /** Refuses a request that has not started, or stops its run. */
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
        const entries = this.entriesByRequestId.get(requestId) ?? [];
        this.cancelledRequestIds.add(requestId);
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

    /** Abandons all queued and running requests when the server crashes. */
    abandonAll(): void {
        for (const entry of [...this.queue, ...this.runningEntries]) {
            this.abandon(entry.job, { reason: "crashed" });
        }
    }

    private find(job: Job): JobEntry | undefined {
        return this.entriesByRequestId.get(job.requestId)?.find(entry => entry.job === job);
    }

    private enqueue(entry: JobEntry): void {
        entry.state = "queued";
        this.queue.push(entry);
        const { deadlineAtMs } = entry.job;
        if (deadlineAtMs !== undefined) {
            entry.timer = setTimeout(() => this.refuse(entry, "deadline"), deadlineAtMs - performance.now());
        }
        this.onLoadChange();
    }

    private run(entry: JobEntry): void {
        clearTimeout(entry.timer);
        entry.state = "running";
        this.runningEntries.add(entry);
        const finish = () => {
            this.releaseSlot(entry);
            entry.job.onFinish();
        };
        const runMs = entry.job.onStart();
        // setTimeout takes at least 1 ms.
        if (runMs === 0) {
            setImmediate(() => entry.state === "running" && finish());
        }
        else {
            entry.timer = setTimeout(finish, runMs);
        }
        this.onLoadChange();
    }

    private stop(entry: JobEntry): void {
        clearTimeout(entry.timer);
        this.releaseSlot(entry);
        entry.job.onStopped();
    }

    private releaseSlot(entry: JobEntry): void {
        entry.state = "finished";
        this.runningEntries.delete(entry);
        const next = this.queue.shift();
        if (next === undefined) {
            this.onLoadChange();
        }
        else if (next.job.deadlineAtMs !== undefined && performance.now() >= next.job.deadlineAtMs) {
            this.refuse(next, "deadline");
            this.releaseSlot(entry);
        }
        else {
            this.run(next);
        }
    }

    private refuse(entry: JobEntry, reason: RefusalReason): void {
        clearTimeout(entry.timer);
        entry.state = "refused";
        this.queue = this.queue.filter(other => other !== entry);
        this.onLoadChange();
        entry.job.onRefused(reason);
    }
}
