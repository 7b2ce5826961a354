import { selectEvacuatedZones } from "@marigoldstall/fleet.view";
import { expect } from "chai";
import { FleetModel } from "./fleet-model.js";
import { ModelDemand } from "./model-demand.js";
import { ModelServers } from "./model-servers.js";

const ZONE = "zone-0";
const SERVER_COUNT = 12;
const SLOTS = 8;
const WORK_MS = 150;
// The servers of two zones run 426 requests a second.
const DEMAND_PER_S = 300;
// Half of what the users allow, which leaves time for slow calls of the store.
const EVACUATED_WITHIN_MS = 2_500;

class EvacuatedFleet {
    readonly model: FleetModel;
    private readonly servers: ModelServers;
    private readonly demand: ModelDemand;

    constructor(vmCount: number) {
        this.model = new FleetModel({
            vmCount,
            zones: 3,
            serverCount: SERVER_COUNT,
            slotsPerServer: SLOTS,
            delayMs: 1,
        });
        const opts = { workMs: WORK_MS, slots: SLOTS, limits: new Map<string, number>(), limitedFromMs: Infinity };
        this.servers = new ModelServers(this.model, opts);
        this.demand = new ModelDemand(this.model);
        this.model.run(3_000);
    }

    runWithDemand(durationMs: number): void {
        this.demand.run(durationMs, DEMAND_PER_S);
    }

    /** Requests that reached servers of the zone from a time on. */
    countInZone(sinceMs: number): number {
        return this.servers.arrivals.filter(({ instanceId, atMs }) =>
            atMs > sinceMs && this.model.registration(instanceId).availabilityZone === ZONE
        ).length;
    }

    /** VMs that send requests into the zone. */
    get uninformed(): readonly string[] {
        return this.model.live.filter(vmId => !selectEvacuatedZones(this.model.state(vmId).view).includes(ZONE));
    }
}

describe("a fleet with an evacuated zone", () => {
    it("sends nothing there from 107 VMs with 300 requests a second, until the zone is back in service", () => {
        const fleet = new EvacuatedFleet(107);
        fleet.runWithDemand(500);
        expect(fleet.countInZone(0)).to.be.greaterThan(0);
        fleet.model.evacuate(ZONE);
        fleet.runWithDemand(EVACUATED_WITHIN_MS);
        const evacuatedAtMs = fleet.model.atMs;
        fleet.runWithDemand(2_000);
        expect(fleet.countInZone(evacuatedAtMs)).to.equal(0);
        fleet.model.evacuate(ZONE, false);
        fleet.runWithDemand(EVACUATED_WITHIN_MS);
        expect(fleet.countInZone(evacuatedAtMs)).to.be.greaterThan(0);
    }).timeout(120_000);

    // The VM that reads the store ends, so the others have to notice the silence and read themselves.
    it("sends nothing there although the hubs end when the operator evacuates it", () => {
        const fleet = new EvacuatedFleet(62);
        fleet.model.evacuate(ZONE);
        fleet.model.hubs.forEach(vmId => fleet.model.silent.add(vmId));
        fleet.runWithDemand(EVACUATED_WITHIN_MS);
        expect(fleet.uninformed).to.deep.equal([]);
        const evacuatedAtMs = fleet.model.atMs;
        fleet.runWithDemand(1_000);
        expect(fleet.countInZone(evacuatedAtMs)).to.equal(0);
    }).timeout(120_000);

    it("sends nothing there although only one VM, which is no hub, reaches the store", () => {
        const fleet = new EvacuatedFleet(13);
        const { model } = fleet;
        const reader = model.live.filter(vmId => !model.hubs.includes(vmId)).at(-1) ?? "";
        model.live.filter(vmId => vmId !== reader).forEach(vmId => model.withoutStore.add(vmId));
        model.evacuate(ZONE);
        // The calls of the others time out after 0.9 s each.
        expect(model.runUntil(() => fleet.uninformed.length === 0, 5_000)).to.be.lessThan(5_000);
    }).timeout(60_000);

    it("keeps the zone evacuated while the store is down, and on VMs that restart then", () => {
        const fleet = new EvacuatedFleet(13);
        const { model } = fleet;
        model.evacuate(ZONE);
        fleet.runWithDemand(EVACUATED_WITHIN_MS);
        const evacuatedAtMs = model.atMs;
        model.live.forEach(vmId => model.withoutStore.add(vmId));
        fleet.runWithDemand(1_000);
        for (const vmId of model.live.slice(4, 9)) {
            model.restart(vmId, { seedId: "vm-000" });
            fleet.runWithDemand(200);
        }
        fleet.runWithDemand(3_000);
        expect(fleet.uninformed).to.deep.equal([]);
        expect(fleet.countInZone(evacuatedAtMs)).to.equal(0);
    }).timeout(60_000);

    it("informs VMs that were cut off while the zone was evacuated", () => {
        const fleet = new EvacuatedFleet(13);
        const { model } = fleet;
        const cutOff = model.live.slice(3, 6);
        cutOff.forEach(vmId => model.isolated.add(vmId));
        cutOff.forEach(vmId => model.withoutStore.add(vmId));
        model.evacuate(ZONE);
        model.run(6_000);
        expect(fleet.uninformed).to.have.members([...cutOff]);
        model.isolated.clear();
        model.withoutStore.clear();
        expect(model.runUntil(() => fleet.uninformed.length === 0, 2_000)).to.be.lessThan(2_000);
    }).timeout(60_000);

    it("keeps the zone evacuated when the store is restored from a copy without the record", () => {
        const fleet = new EvacuatedFleet(13);
        const { model } = fleet;
        const copy = model.takeCopy();
        model.evacuate(ZONE);
        fleet.runWithDemand(EVACUATED_WITHIN_MS);
        const evacuatedAtMs = model.atMs;
        model.restore(copy);
        fleet.runWithDemand(3_000);
        model.restart("vm-004", { seedId: "vm-001" });
        fleet.runWithDemand(1_000);
        expect(fleet.countInZone(evacuatedAtMs)).to.equal(0);
        model.evacuate(ZONE, false);
        expect(model.runUntil(() => fleet.uninformed.length === model.live.length, 2_500)).to.be.lessThan(2_500);
    }).timeout(60_000);
});
