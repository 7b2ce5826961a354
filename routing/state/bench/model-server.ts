import type { LoadReport } from "@marigoldstall/core.types";
import type { EventQueue } from "./event-queue.js";

type Job = { readonly id: string; readonly serviceMs: number; readonly onEnd: (notRun: boolean) => void; };

const SLOTS = 2;
const QUEUE_LIMIT = 100;

/** Simulated backend server with two slots and a FIFO queue. It supports cancellation. */
export class ModelServer {
    readonly address: string;
    readonly availabilityZone: string;
    instanceId: string;
    draining = false;
    /** Factor on the service time of a request that starts at the given time. */
    serviceTimeFactorAt: (atMs: number) => number = () => 1;
    private readonly events: EventQueue;
    private readonly running = new Set<Job>();
    private queue: Job[] = [];
    private readonly reportLagMs: number;
    /** Load reports with the time from which each is valid, oldest first. Kept only for the report lag. */
    private loadHistory: { readonly fromMs: number; readonly load: LoadReport; }[] = [];

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

    /** Returns the load as of `reportLagMs` ago. */
    reportLoad(): LoadReport {
        this.recordLoad();
        const asOfMs = this.events.nowMs - this.reportLagMs;
        while ((this.loadHistory[1]?.fromMs ?? Infinity) <= asOfMs) {
            this.loadHistory.shift();
        }
        return this.loadHistory[0]?.load ?? { inFlight: 0, queued: 0, slots: SLOTS };
    }

    private recordLoad(): void {
        const load = { inFlight: this.running.size, queued: this.queue.length, slots: SLOTS };
        this.loadHistory.push({ fromMs: this.events.nowMs, load });
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
        this.recordLoad();
    }

    cancel(id: string): void {
        this.queue = this.queue.filter(job => job.id !== id);
        for (const job of this.running) {
            if (job.id === id) {
                this.release(job);
            }
        }
        this.recordLoad();
    }

    private run(job: Job): void {
        this.running.add(job);
        this.events.schedule(job.serviceMs * this.serviceTimeFactorAt(this.events.nowMs), () => {
            if (this.running.has(job)) {
                // As in the stand-in, the response is written after the slot has been assigned to the next request.
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
        this.recordLoad();
    }
}
