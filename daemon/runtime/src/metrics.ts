import type { ClassTargets, Outcome } from "@marigoldstall/core.types";
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";

interface ClassMetrics {
    readonly observe: (seconds: number) => void;
    readonly count: (outcome: Outcome) => void;
}

/**
 * Metrics of `/metrics`. To keep their number bounded, label values come only from the targets, the VM list and fixed
 * lists, never from callers.
 */
export class Metrics {
    readonly registry = new Registry();
    readonly rejections: Counter<"reason">;
    readonly attempts: Counter<"service" | "result">;
    readonly rpcRefusals: Counter<"reason">;
    readonly rpcFailures: Counter<"method">;
    readonly probes: Counter<"result">;
    readonly eventErrors: Counter<"event">;
    readonly logFailures: Counter<"stream">;
    private readonly requests: Counter<"service" | "class" | "outcome">;
    private readonly durations: Histogram<"service" | "class">;
    // Resolving labels costs more than counting, so it is done once per class.
    private readonly metricsByClass = new WeakMap<ClassTargets, ClassMetrics>();

    constructor() {
        const registers = [this.registry];
        collectDefaultMetrics({ register: this.registry });
        this.requests = new Counter({
            name: "marigoldstall_requests_total",
            help: "Requests of callers by outcome.",
            labelNames: ["service", "class", "outcome"],
            registers,
        });
        this.durations = new Histogram({
            name: "marigoldstall_request_duration_seconds",
            help: "Time from the headers of a request to the end of its answer, for completed requests.",
            labelNames: ["service", "class"],
            buckets: [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30],
            registers,
        });
        this.rejections = new Counter({
            name: "marigoldstall_rejections_total",
            help: "Answers without a response of a backend server, by reason code.",
            labelNames: ["reason"],
            registers,
        });
        this.attempts = new Counter({
            name: "marigoldstall_attempts_total",
            help: "Attempts at backend servers by result.",
            labelNames: ["service", "result"],
            registers,
        });
        this.rpcRefusals = new Counter({
            name: "marigoldstall_control_refusals_total",
            help: "Calls that the control port refused, by reason.",
            labelNames: ["reason"],
            registers,
        });
        this.rpcFailures = new Counter({
            name: "marigoldstall_control_failures_total",
            help: "Calls to peers that failed, by method.",
            labelNames: ["method"],
            registers,
        });
        this.probes = new Counter({
            name: "marigoldstall_probes_total",
            help: "Probes of backend servers by result.",
            labelNames: ["result"],
            registers,
        });
        this.eventErrors = new Counter({
            name: "marigoldstall_event_errors_total",
            help: "Events that the daemon failed to handle, by type. Each one is a fault of the daemon.",
            labelNames: ["event"],
            registers,
        });
        this.logFailures = new Counter({
            name: "marigoldstall_log_failures_total",
            help: "Reads and appends that the log did not answer, by stream.",
            labelNames: ["stream"],
            registers,
        });
    }

    /** Registers a gauge whose value is read on each request to `/metrics`. */
    gauge(name: string, help: string, read: () => number | undefined): void {
        new Gauge({
            name,
            help,
            registers: [this.registry],
            collect() {
                const value = read();
                if (value === undefined) {
                    this.reset();
                }
                else {
                    this.set(value);
                }
            },
        });
    }

    forClass(targets: ClassTargets): ClassMetrics {
        let metrics = this.metricsByClass.get(targets);
        if (metrics === undefined) {
            const { service, name } = targets;
            const duration = this.durations.labels(service, name);
            const counters = {
                "completed": this.requests.labels(service, name, "completed"),
                "not-run": this.requests.labels(service, name, "not-run"),
                "unknown": this.requests.labels(service, name, "unknown"),
            };
            metrics = {
                observe: seconds => {
                    duration.observe(seconds);
                },
                count: outcome => {
                    counters[outcome].inc();
                },
            };
            this.metricsByClass.set(targets, metrics);
        }
        return metrics;
    }
}
