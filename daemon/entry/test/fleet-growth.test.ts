import { expect } from "chai";
import { FleetModel } from "./fleet-model.js";

const MEASURED_S = 2;
const SERVERS_PER_VM = 1.3;
// A hub sends at most 1,000 datagrams a second to its members; the rest is for other hubs and for what members send.
const MAX_DATAGRAMS_PER_ZONE = 1_500;

const measure = (vmCount: number) => {
    const serverCount = Math.round(vmCount * SERVERS_PER_VM);
    const model = new FleetModel({ vmCount, serverCount });
    model.run(1_500);
    const before = { datagrams: model.datagrams, reads: model.storeReads.length, probes: model.probes.length };
    model.run(MEASURED_S * 1_000);
    const datagrams = (model.datagrams - before.datagrams) / MEASURED_S;
    return {
        datagramsPerVm: datagrams / vmCount,
        datagramsPerZone: datagrams / model.hubs.length,
        readsOfFleet: (model.storeReads.length - before.reads) / MEASURED_S,
        probesPerServer: (model.probes.length - before.probes) / MEASURED_S / serverCount,
    };
};

// On fleets of 99 VMs, what grew with the number of VMs cost 0.89 of worth (a watch of the store on each VM) or the whole
// day (processor time for datagrams).
describe("a fleet that grows", () => {
    it("costs each VM, the store and each server no more with 99 VMs than with 30", () => {
        const small = measure(30);
        const large = measure(99);
        expect(large.datagramsPerVm).to.be.at.most(small.datagramsPerVm);
        expect(large.datagramsPerZone).to.be.at.most(MAX_DATAGRAMS_PER_ZONE);
        expect(large.readsOfFleet).to.be.at.most(small.readsOfFleet + 1);
        expect(large.probesPerServer).to.be.at.most(20);
    }).timeout(120_000);
});
