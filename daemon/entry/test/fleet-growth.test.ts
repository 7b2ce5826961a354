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
});
