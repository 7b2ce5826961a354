import { expect } from "chai";
import { FleetModel } from "./fleet-model.js";
import { ModelDemand } from "./model-demand.js";
import { ModelServers } from "./model-servers.js";

const COLD_PER_SECOND = 10;
const OVER_FACTOR = 1.5;
const SLACK_REQUESTS = 8;
const ALLOWED_IN_A_SECOND = COLD_PER_SECOND * OVER_FACTOR + SLACK_REQUESTS;
// What the limited servers get at least while there is work for them.
const MIN_USE = 0.7;
const SLOTS = 4;
const WORK_MS = 100;
const ZONES = 3;
const SERVER_COUNT = 36;
const ZONE = "zone-0";
const COLD_FOR_MS = 6_000;

const countMostInASecond = (timesMs: readonly number[]): number =>
    Math.max(0, ...timesMs.map(atMs => timesMs.filter(other => other >= atMs && other < atMs + 1_000).length));

/** Three zones with 12 servers each. */
class ColdFleet {
    readonly model: FleetModel;
    readonly servers: ModelServers;
    private readonly demand: ModelDemand;

    constructor(vmCount: number) {
        this.model = new FleetModel({
            vmCount,
            zones: ZONES,
            serverCount: SERVER_COUNT,
            slotsPerServer: SLOTS,
            delayMs: 1,
            coldRequestsPerSecond: COLD_PER_SECOND,
        });
        const limits = new Map<string, number>();
        this.servers = new ModelServers(this.model, { workMs: WORK_MS, slots: SLOTS, limits, limitedFromMs: Infinity });
        this.demand = new ModelDemand(this.model);
        this.model.run(3_000);
    }

    idsOf(zone: string): readonly string[] {
        return [...Array(SERVER_COUNT).keys()].map(index => `i-${index}`)
            .filter(instanceId => this.model.registration(instanceId).availabilityZone === zone);
    }

    makeCold(instanceIds: readonly string[], durationMs = COLD_FOR_MS): void {
        instanceIds.forEach(instanceId => this.servers.coldUntilMs.set(instanceId, this.model.atMs + durationMs));
    }

    /** A zone is evacuated and comes back with cold servers. */
    returnZone(): void {
        this.model.evacuate(ZONE);
        this.model.run(2_500);
        this.makeCold(this.idsOf(ZONE), 2 * COLD_FOR_MS);
        this.model.evacuate(ZONE, false);
    }

    run(durationMs: number, demandPerS: number): void {
        this.demand.run(durationMs, demandPerS);
    }

    timesAt(instanceId: string, sinceMs: number): readonly number[] {
        return this.servers.arrivals
            .filter(arrival => arrival.instanceId === instanceId && arrival.atMs >= sinceMs)
            .map(({ atMs }) => atMs);
    }

    expectWithinBounds(instanceIds: readonly string[], sinceMs: number): void {
        for (const instanceId of instanceIds) {
            const most = countMostInASecond(this.timesAt(instanceId, sinceMs));
            expect(most, `requests to ${instanceId} in a second`).to.be.at.most(ALLOWED_IN_A_SECOND);
        }
    }
}

describe("a fleet with cold servers", () => {
    // The servers of a zone came back with nothing to do, so all VMs took them for the best ones.
    it("sends no herd to a zone of 12 cold servers that comes back while 100 VMs have work for it", () => {
        const fleet = new ColdFleet(100);
        const ids = fleet.idsOf(ZONE);
        fleet.returnZone();
        const sinceMs = fleet.model.atMs;
        // The other 24 servers run 960 requests a second.
        fleet.run(2_500, 1_100);
        const usedFromMs = fleet.model.atMs;
        fleet.run(2_000, 1_100);
        fleet.expectWithinBounds(ids, sinceMs);
        const used = ids.reduce((sum, id) => sum + fleet.timesAt(id, usedFromMs).length, 0);
        expect(used / ids.length / 2).to.be.at.least(MIN_USE * COLD_PER_SECOND);
    }).timeout(300_000);

    it("notices within the bounds that busy servers of all zones become cold again", () => {
        const fleet = new ColdFleet(30);
        // 30 requests a second for each server.
        fleet.run(1_000, 1_100);
        const ids = ["i-0", "i-1", "i-2"];
        fleet.makeCold(ids);
        const sinceMs = fleet.model.atMs;
        fleet.run(3_000, 1_100);
        fleet.expectWithinBounds(ids, sinceMs);
    }).timeout(120_000);

    for (
        const [name, fail] of [
            ["the hubs end", ({ model }: ColdFleet) => model.hubs.forEach(vmId => model.silent.add(vmId))],
            // Each VM of the two is a hub of its own then, of the same zone as another one.
            [
                "two VMs are cut off from the others",
                ({ model }: ColdFleet) => model.live.slice(0, 2).forEach(vmId => model.isolated.add(vmId)),
            ],
            ["a tenth of the datagrams is lost", ({ model }: ColdFleet) => {
                model.lossShare = 0.1;
            }],
        ] as const
    ) {
        it(`keeps the bounds of 12 cold servers when ${name}`, () => {
            const fleet = new ColdFleet(30);
            const ids = fleet.idsOf(ZONE);
            fleet.makeCold(ids);
            const sinceMs = fleet.model.atMs;
            fleet.run(800, 1_100);
            fail(fleet);
            fleet.run(2_000, 1_100);
            fleet.model.isolated.clear();
            fleet.model.silent.clear();
            fleet.run(1_000, 1_100);
            fleet.expectWithinBounds(ids, sinceMs);
        }).timeout(120_000);
    }

    it("uses servers fully as soon as they are warm", () => {
        const fleet = new ColdFleet(13);
        const ids = [...Array(SERVER_COUNT).keys()].map(index => `i-${index}`);
        fleet.makeCold(ids, 1_500);
        fleet.run(2_500, 1_000);
        const sinceMs = fleet.model.atMs;
        fleet.run(1_000, 1_000);
        const used = ids.reduce((sum, id) => sum + fleet.timesAt(id, sinceMs).length, 0);
        expect(used).to.be.at.least(900);
    }).timeout(120_000);
});
