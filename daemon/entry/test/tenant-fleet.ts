import type { QuotaBounds, Tenant } from "@marigoldstall/core.types";
import { FleetModel } from "./fleet-model.js";
import { ModelServers } from "./model-servers.js";

const WORK_MS = 60;
const STEP_MS = 10;

/** The bounds of the deployments in use. */
const BOUNDS: QuotaBounds = { windowMs: 5_000, overShare: 0.1, slackRequests: 20 };

interface Demand {
    readonly apiKey: string;
    readonly perSecond: number;
    /** VMs that the requests reach. Default: all that run, one after the other. */
    readonly vmIds?: readonly string[];
}

interface TenantFleetOptions {
    readonly vmCount: number;
    readonly zones?: number;
    readonly tenants: readonly Tenant[];
}

/** Fleet of the model whose callers belong to tenants. The API key of a tenant is its name. */
export class TenantFleet {
    readonly model: FleetModel;
    readonly servers: ModelServers;
    private readonly due = new Map<string, number>();
    private nextVm = 0;

    constructor(opts: TenantFleetOptions) {
        this.model = new FleetModel({
            vmCount: opts.vmCount,
            zones: opts.zones ?? 3,
            // Enough for all demand, so that only quotas limit it.
            serverCount: 60,
            slotsPerServer: 8,
            delayMs: 1,
            settings: { quotaBounds: BOUNDS },
            tenantsByKey: new Map(opts.tenants.map(tenant => [tenant.name, tenant])),
        });
        this.servers = new ModelServers(this.model, {
            workMs: WORK_MS,
            slots: 8,
            limits: new Map(),
            limitedFromMs: Infinity,
        });
        // Longer than a window, within which earlier requests are assumed after a start.
        this.model.run(BOUNDS.windowMs + 1_000);
    }

    run(durationMs: number, demands: readonly Demand[]): void {
        const endAtMs = this.model.atMs + durationMs;
        while (this.model.atMs < endAtMs) {
            for (const { apiKey, perSecond, vmIds } of demands) {
                let due = (this.due.get(apiKey) ?? 0) + perSecond * STEP_MS / 1_000;
                for (; due >= 1; due -= 1) {
                    const targets = vmIds ?? this.model.live;
                    this.nextVm = (this.nextVm + 37) % targets.length;
                    this.model.arrive(targets[this.nextVm] ?? "", { apiKey });
                }
                this.due.set(apiKey, due);
            }
            this.model.run(STEP_MS);
        }
    }

    /** Requests of a tenant that servers began to run. */
    timesOf(tenantName: string, fromMs = 0): readonly number[] {
        return this.servers.arrivals
            .filter(arrival => arrival.tenantName === tenantName && arrival.atMs >= fromMs)
            .map(({ atMs }) => atMs);
    }

    /** The highest number of requests of a tenant that ran in any window. */
    countMostInWindow(tenantName: string): number {
        const timesMs = this.timesOf(tenantName);
        let most = 0;
        let first = 0;
        for (const [index, atMs] of timesMs.entries()) {
            while ((timesMs[first] ?? atMs) <= atMs - BOUNDS.windowMs) {
                first += 1;
            }
            most = Math.max(most, index - first + 1);
        }
        return most;
    }

    countRejected(statusCode: number): number {
        return this.model.decisions
            .filter(({ effect }) => effect.type === "reject-request" && effect.statusCode === statusCode).length;
    }

    /** Requests of a tenant that its quota covers in one window. */
    static quotaOf({ quota }: Tenant): number {
        return (quota?.requestsPerSecond ?? 0) * BOUNDS.windowMs / 1_000 + (quota?.burstRequests ?? 0);
    }

    /** The most requests of a tenant that may run in one window. */
    static boundOf(tenant: Tenant): number {
        return TenantFleet.quotaOf(tenant) * (1 + BOUNDS.overShare) + BOUNDS.slackRequests;
    }
}
