import { expect } from "chai";
import { FleetModel } from "./fleet-model.js";

// By this number the VMs of a zone share its probes. It is remembered for a list of servers, and a number of an earlier list
// would leave servers without a prober.
describe("The number of servers in the zone of a VM", () => {
    it("is that of the registrations it knows, also after some have come and gone", () => {
        const model = new FleetModel({ vmCount: 6, zones: 2, serverCount: 9 });
        const expectCounts = (expected: readonly number[]): void => {
            model.run(1_500);
            for (const { hub: { self }, view, zoneServerCount } of model.states.values()) {
                const known = [...view.servers.values()]
                    .filter(({ server }) => server.availabilityZone === self.availabilityZone);
                expect(zoneServerCount).to.equal(known.length);
                expect(zoneServerCount).to.equal(expected[self.availabilityZone === "zone-0" ? 0 : 1]);
            }
        };
        expectCounts([5, 4]);
        model.registerServer("new");
        expectCounts([6, 4]);
        model.remove("i-1");
        expectCounts([6, 3]);
    });
});
