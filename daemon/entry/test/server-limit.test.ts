import { expect } from "chai";
import { FleetModel } from "./fleet-model.js";
import { ModelDemand } from "./model-demand.js";
import { ModelServers } from "./model-servers.js";

const LIMITS = new Map([["i-0", 0.3], ["i-1", 1], ["i-2", 1.3], ["i-3", 40]]);
const SERVER_COUNT = 16;
const SLOTS = 8;
const WORK_MS = 150;
// The other servers run 640 requests a second, so this demand also needs the limited ones.
const DEMAND_PER_S = 700;
// What the users allow: from 3 s after a server stated its limit, one and a half times the limit and 5 requests in 4 s.
const STABLE_AFTER_MS = 3_000;
const WINDOW_MS = 4_000;
const allowedInWindow = (limitPerSecond: number): number => 1.5 * limitPerSecond * WINDOW_MS / 1_000 + 5;
const MIN_USE = 0.7;

const countMostInWindow = (timesMs: readonly number[]): number => {
    let most = 0;
    let first = 0;
    for (const [index, atMs] of timesMs.entries()) {
        while ((timesMs[first] ?? atMs) <= atMs - WINDOW_MS) {
            first += 1;
        }
        most = Math.max(most, index - first + 1);
    }
    return most;
};

class LimitedFleet {
    readonly model: FleetModel;
    readonly servers: ModelServers;
    readonly limitedFromMs: number;
    private readonly demand: ModelDemand;

    constructor(opts: { readonly vmCount: number; readonly zones: number; }) {
        this.model = new FleetModel({ ...opts, serverCount: SERVER_COUNT, slotsPerServer: SLOTS, delayMs: 1 });
        this.limitedFromMs = this.model.atMs + 4_000;
        const { limitedFromMs } = this;
        this.servers = new ModelServers(this.model, { workMs: WORK_MS, slots: SLOTS, limits: LIMITS, limitedFromMs });
        this.demand = new ModelDemand(this.model);
        this.model.run(3_000);
    }

    /** Spreads requests evenly over the VMs that run. */
    runWithDemand(durationMs: number, demandPerS: number): void {
        this.demand.run(durationMs, demandPerS);
    }

    /** Each VM gets several requests within 100 ms. */
    burst(): void {
        for (const vmId of this.model.live) {
            for (let count = 0; count < 3; count += 1) {
                this.model.arrive(vmId);
            }
        }
        this.model.run(100);
    }

    /** Requests and health checks of a limited server from the time on at which it is held to its limit. */
    timesAt(instanceId: string, opts: { readonly withChecks: boolean; }): readonly number[] {
        const { arrivals, checks } = this.servers;
        return [...arrivals, ...opts.withChecks ? checks : []]
            .filter(arrival =>
                arrival.instanceId === instanceId && arrival.atMs >= this.limitedFromMs + STABLE_AFTER_MS
            )
            .map(({ atMs }) => atMs)
            .sort((a, b) => a - b);
    }
}

const expectWithinLimits = (fleet: LimitedFleet): void => {
    for (const [instanceId, limitPerSecond] of LIMITS) {
        const most = countMostInWindow(fleet.timesAt(instanceId, { withChecks: true }));
        expect(most, `${instanceId}, limit ${limitPerSecond}`).to.be.at.most(allowedInWindow(limitPerSecond));
    }
};

const selectThird = (fleet: LimitedFleet, remainder: number): readonly string[] =>
    [...fleet.model.states.keys()].filter((vmId, index) => vmId !== "" && index % 3 === remainder);

describe("a fleet whose servers state limits", () => {
    for (const [vmCount, zones] of [[13, 3], [62, 4], [312, 5]] as const) {
        // A server in need got its usual share of the requests from each VM, whatever limit it stated.
        it(`keeps ${vmCount} VMs within the limit of each server, and uses it while there is work`, () => {
            const fleet = new LimitedFleet({ vmCount, zones });
            fleet.runWithDemand(4_500, DEMAND_PER_S);
            const startsAtMs = fleet.model.atMs;
            fleet.runWithDemand(4_000, DEMAND_PER_S);
            const durationS = (fleet.model.atMs - startsAtMs) / 1_000;
            for (const [instanceId, limitPerSecond] of LIMITS) {
                const used = fleet.timesAt(instanceId, { withChecks: false }).filter(atMs => atMs >= startsAtMs).length;
                const expected = Math.floor(MIN_USE * limitPerSecond * durationS);
                expect(used, `${instanceId}, limit ${limitPerSecond}`).to.be.at.least(expected);
            }
            expectWithinLimits(fleet);
        }).timeout(300_000);
    }

    // After a calm time, each VM may think that the limit leaves room for its request.
    it("keeps the limits when all VMs want the same servers within 100 ms", () => {
        const fleet = new LimitedFleet({ vmCount: 62, zones: 4 });
        fleet.runWithDemand(1_500, DEMAND_PER_S);
        fleet.model.run(9_000);
        for (let round = 0; round < 5; round += 1) {
            fleet.burst();
        }
        fleet.model.run(2_000);
        expectWithinLimits(fleet);
    }).timeout(120_000);

    // A wrong number of live VMs must not give each of them a larger share of the limit.
    it("keeps the limits while a third of the VMs is frozen, cut off or restarted", () => {
        const fleet = new LimitedFleet({ vmCount: 62, zones: 4 });
        const { model } = fleet;
        fleet.runWithDemand(4_500, DEMAND_PER_S);
        selectThird(fleet, 0).forEach(vmId => model.silent.add(vmId));
        fleet.runWithDemand(2_500, DEMAND_PER_S);
        model.silent.clear();
        selectThird(fleet, 1).forEach(vmId => model.isolated.add(vmId));
        fleet.runWithDemand(2_500, DEMAND_PER_S);
        model.isolated.clear();
        for (const [index, vmId] of selectThird(fleet, 2).entries()) {
            model.restart(vmId, { seedId: index % 2 === 0 ? "vm-000" : "vm-001" });
            fleet.runWithDemand(100, DEMAND_PER_S);
        }
        fleet.runWithDemand(2_000, DEMAND_PER_S);
        expectWithinLimits(fleet);
    }).timeout(240_000);
});
