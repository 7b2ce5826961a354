import type { LoadReport } from "@marigoldstall/core.types";
import type { EventQueue } from "./event-queue.js";

type Job = { readonly id: string; readonly serviceMs: number; readonly onEnd: (notRun: boolean) => void; };

const SLOTS = 2;
const QUEUE_LIMIT = 100;

/** A backend server with two slots and a first-in, first-out queue. It accepts cancellation. */
export class ModelServer {
    readonly address: string;
    readonly availabilityZone: string;
    instanceId: string;
    draining = false;
    /** Factor on service times, by the time at which a run starts. */
    slownessAt: (atMs: number) => number = () => 1;
    private readonly events: EventQueue;
    private readonly running = new Set<Job>();
    private queue: Job[] = [];
    private readonly reportLagMs: number;
    /** Reports by the time from which on they hold, the newest last; kept for the lag only. */
    private history: { readonly fromMs: number; readonly load: LoadReport; }[] = [];

    constructor(
        events: EventQueue,
        opts: { readonly address: string; readonly availabilityZone: string; readonly reportLagMs: number; },
    ) {
        this.reportLagMs = opts.reportLagMs;
        this.events = events;
        this.address = opts.address;
        this.availabilityZone = opts.availabilityZone;
        this.instanceId = `${opts.address}/1`;
    }

    /** The load as it was `reportLagMs` ago. */
    report(): LoadReport {
        this.remember();
        const asOfMs = this.events.nowMs - this.reportLagMs;
        while ((this.history[1]?.fromMs ?? Infinity) <= asOfMs) {
            this.history.shift();
        }
        return this.history[0]?.load ?? { inFlight: 0, queued: 0, slots: SLOTS };
    }

    private remember(): void {
        const load = { inFlight: this.running.size, queued: this.queue.length, slots: SLOTS };
        this.history.push({ fromMs: this.events.nowMs, load });
    }

    submit(job: Job): void {
        if (this.draining || this.queue.length >= QUEUE_LIMIT) {
            job.onEnd(true);
        }
        else if (this.running.size < SLOTS) {
            this.run(job);
        }
        else {
            this.queue.push(job);
        }
        this.remember();
    }

    cancel(id: string): void {
        this.queue = this.queue.filter(job => job.id !== id);
        for (const job of this.running) {
            if (job.id === id) {
                this.release(job);
            }
        }
        this.remember();
    }

    private run(job: Job): void {
        this.running.add(job);
        this.events.after(job.serviceMs * this.slownessAt(this.events.nowMs), () => {
            if (this.running.has(job)) {
                // Like the stand-in, the answer is written after the slot has been given to the next request.
                this.release(job);
                job.onEnd(false);
            }
        });
    }

    private release(job: Job): void {
        this.running.delete(job);
        const next = this.queue.shift();
        if (next !== undefined) {
            this.run(next);
        }
        this.remember();
    }
}
