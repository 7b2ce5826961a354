import { expect } from "chai";
import { FleetModel } from "./fleet-model.js";

const MEASUREMENT_S = 2;
const SERVERS_PER_VM = 1.3;
// A hub sends at most 1,000 datagrams a second to its members. The rest covers datagrams to other hubs and from
// members.
const MAX_DATAGRAMS_PER_ZONE = 1_500;

const measure = (vmCount: number) => {
    const serverCount = Math.round(vmCount * SERVERS_PER_VM);
    const model = new FleetModel({ vmCount, serverCount });
    model.run(1_500);
    const before = { datagrams: model.datagrams, reads: model.storeReads.length, probes: model.probes.length };
    model.run(MEASUREMENT_S * 1_000);
    const datagrams = (model.datagrams - before.datagrams) / MEASUREMENT_S;
    return {
        datagramsPerVm: datagrams / vmCount,
        datagramsPerZone: datagrams / model.hubs.length,
        storeReadsPerSecond: (model.storeReads.length - before.reads) / MEASUREMENT_S,
        probesPerServer: (model.probes.length - before.probes) / MEASUREMENT_S / serverCount,
    };
};

// The target for control at the two-year size, per VM.
const MAX_CONTROL_BYTES_PER_S = 7_000;
const MAX_LOAD_AGE_MS = 100;

// Age of the load report by which a VM chose the server of its last request.
const selectDecisionAgeMs = (model: FleetModel, vmId: string): number => {
    const chosen = model.decisions
        .filter(decision => decision.vmId === vmId)
        .flatMap(({ effect }) => effect.type === "check-server" || effect.type === "start-attempt" ? [effect] : [])
        .at(-1);
    const servers = model.state(vmId).dispatch.services.get("one")?.servers;
    return model.atMs - (servers?.get(chosen?.instanceId ?? "")?.measuredAtMs ?? -Infinity);
};

// What members receive and send while they have no requests, and the loads that a request of each member is decided by.
const measureMembers = (vmCount: number, opts: { readonly zones: number; readonly serverCount: number; }) => {
    const model = new FleetModel({ vmCount, ...opts, delayMs: 1 });
    model.run(2_000);
    const members = model.live.filter(vmId => !model.hubs.includes(vmId) && !model.state(vmId).isProber);
    model.datagramBytes.clear();
    model.receivedLoads.clear();
    model.run(MEASUREMENT_S * 1_000);
    const bytesPerS = members.map(vmId => (model.datagramBytes.get(vmId) ?? 0) / MEASUREMENT_S);
    const idleLoads = members.reduce((sum, vmId) => sum + (model.receivedLoads.get(vmId) ?? 0), 0);
    const agesMs: number[] = [];
    for (let index = 0; index < members.length; index += 10) {
        const vmId = members[index] ?? "";
        model.arrive(vmId);
        model.run(8);
        agesMs.push(selectDecisionAgeMs(model, vmId));
    }
    return { bytesPerS: Math.max(...bytesPerS), idleLoads, maxAgeMs: Math.max(...agesMs) };
};

// Guards against costs that grow with the number of VMs. On fleetbench with 99 VMs, a store watch on each VM cost 0.89
// of worth, and the CPU time for datagrams cost the whole day.
describe("fleet scaling", () => {
    it("puts no more load on each VM, the store and each server with 99 VMs than with 30", () => {
        const small = measure(30);
        const large = measure(99);
        expect(large.datagramsPerVm).to.be.at.most(small.datagramsPerVm);
        expect(large.datagramsPerZone).to.be.at.most(MAX_DATAGRAMS_PER_ZONE);
        expect(large.storeReadsPerSecond).to.be.at.most(small.storeReadsPerSecond + 1);
        expect(large.probesPerServer).to.be.at.most(20);
    }).timeout(120_000);

    // With 312 VMs, load reports of 479 servers every 50 ms to every VM would be 3 million reports a second, for about
    // 650 requests a second. A VM pays for its own requests instead.
    describe("of a member", () => {
        for (const [vmCount, zones, serverCount] of [[99, 3, 177], [312, 5, 479]] as const) {
            it(`receives no loads without requests, and fresh ones with a request, with ${vmCount} VMs`, () => {
                const member = measureMembers(vmCount, { zones, serverCount });
                expect(member.idleLoads).to.equal(0);
                expect(member.bytesPerS).to.be.at.most(MAX_CONTROL_BYTES_PER_S);
                expect(member.maxAgeMs).to.be.at.most(MAX_LOAD_AGE_MS);
            }).timeout(300_000);
        }
    });
});
