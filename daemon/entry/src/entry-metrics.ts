import { listenOn } from "@marigoldstall/fleet.rpc";
import { createServer, type Server } from "node:http";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_INTERNAL_SERVER_ERROR = 500;

/** Counters and histograms of the daemon, served at `/metrics`. Labels come from fixed lists and the configuration. */
export class EntryMetrics {
    readonly registry = new Registry();
    readonly decisions = new Counter({
        name: "marigoldstall_decisions_total",
        help: "Decisions about requests, by kind and reason.",
        labelNames: ["kind", "reason"],
        registers: [this.registry],
    });
    readonly requestDurations = new Histogram({
        name: "marigoldstall_answer_duration_seconds",
        help: "Time from the arrival of a request to its response, by service.",
        labelNames: ["service"],
        buckets: [0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 1.5, 2.5, 5, 10],
        registers: [this.registry],
    });
    readonly attempts = new Counter({
        name: "marigoldstall_attempts_total",
        help: "Attempts at backend servers, by result.",
        labelNames: ["result"],
        registers: [this.registry],
    });
    readonly hedges = new Counter({
        name: "marigoldstall_hedges_total",
        help: "Hedges sent under --hedge-share that have ended, by result.",
        labelNames: ["result"],
        registers: [this.registry],
    });
    readonly probes = new Counter({
        name: "marigoldstall_probes_total",
        help: "Health checks of backend servers, by result.",
        labelNames: ["result"],
        registers: [this.registry],
    });
    readonly malformedHeaders = new Counter({
        name: "marigoldstall_malformed_server_headers_total",
        help: "Headers of backend servers' responses that could not be parsed.",
        registers: [this.registry],
    });
    readonly refusedInputs = new Counter({
        name: "marigoldstall_refused_inputs_total",
        help: "Datagrams, calls, registrations and configurations that were refused, by kind.",
        labelNames: ["kind"],
        registers: [this.registry],
    });
    readonly connectionsOpened = new Counter({
        name: "marigoldstall_backend_connections_opened_total",
        help: "Connections opened to backend servers.",
        registers: [this.registry],
    });
    readonly storeReads = new Counter({
        name: "marigoldstall_store_reads_total",
        help: "Reads of the store, by topic.",
        labelNames: ["topic"],
        registers: [this.registry],
    });
    readonly eventErrors = new Counter({
        name: "marigoldstall_event_errors_total",
        help: "Events and effects that the daemon failed to handle. Each is a fault of the daemon.",
        labelNames: ["event"],
        registers: [this.registry],
    });
    readonly signals = new Counter({
        name: "marigoldstall_signals_total",
        help: "Signals that the process received, also while it was loading.",
        labelNames: ["signal"],
        registers: [this.registry],
    });
    readonly datagrams = new Counter({
        name: "marigoldstall_datagrams_total",
        help: "Datagrams of the fleet, by direction and type.",
        labelNames: ["direction", "type"],
        registers: [this.registry],
    });
    private readonly server: Server;

    constructor() {
        this.server = createServer((request, response) => {
            request.resume();
            if (request.url !== "/metrics") {
                response.writeHead(STATUS_NOT_FOUND, { "Content-Length": 0 });
                response.end();
                return;
            }
            this.registry.metrics().then(text => {
                response.writeHead(STATUS_OK, { "Content-Type": this.registry.contentType });
                response.end(text);
            }, (error: unknown) => {
                response.writeHead(STATUS_INTERNAL_SERVER_ERROR, { "Content-Type": "text/plain" });
                response.end(String(error));
            });
        });
    }

    addGauge(name: string, help: string, read: () => number): void {
        new Gauge({
            name,
            help,
            registers: [this.registry],
            collect() {
                this.set(read());
            },
        });
    }

    async listen(address: string): Promise<void> {
        await listenOn(this.server, address);
    }
}
