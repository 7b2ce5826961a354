import { EventQueue } from "./event-queue.js";
import { injectModelFaults } from "./model-faults.js";
import { ModelServer } from "./model-server.js";

const ZONES = ["a", "b", "c"];
const SAME_ZONE_MS = 0.15;
const OTHER_ZONE_MS = 1.5;

/** Simulated backend servers in three availability zones, with network delays and injected faults. */
export class ModelSite {
    readonly events = new EventQueue();
    readonly servers: readonly ModelServer[];
    private readonly fault: ReturnType<typeof injectModelFaults>;

    constructor(opts: { readonly servers: number; readonly faults: boolean; readonly reportLagMs: number; }) {
        this.servers = Array.from({ length: opts.servers }, (unused, index) =>
            new ModelServer(this.events, {
                address: `127.0.0.1:${8000 + index}`,
                availabilityZone: ModelSite.zoneOf(index),
                reportLagMs: opts.reportLagMs,
            }));
        this.fault = opts.faults ? injectModelFaults(this.events, this.servers) : undefined;
    }

    static zoneOf(index: number): string {
        return ZONES[index % ZONES.length] ?? "";
    }

    delayMs(fromZone: string, server: ModelServer): number {
        return fromZone === server.availabilityZone ? SAME_ZONE_MS : OTHER_ZONE_MS;
    }

    isDown(server: ModelServer): boolean {
        return this.fault?.server === server && this.fault.down();
    }
}
