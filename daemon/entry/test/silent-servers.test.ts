import { expect } from "chai";
import { FleetModel } from "./fleet-model.js";
import { ModelServers } from "./model-servers.js";

const SLOTS = 4;
const QUEUE_LENGTH = 8;
const SERVER_COUNT = 12;
const WORK_MS = 100;
const VM_COUNT = 107;

describe("a fleet whose servers do not answer requests that they cannot queue", () => {
    // 107 VMs see the same free slots, and each may send before it hears of the others.
    it("sends no server more than it can queue, with 107 VMs and 1.5 times what the servers run", () => {
        const model = new FleetModel({ vmCount: VM_COUNT, zones: 3, serverCount: SERVER_COUNT, slotsPerServer: SLOTS });
        const servers = new ModelServers(model, {
            workMs: WORK_MS,
            slots: SLOTS,
            limits: new Map(),
            limitedFromMs: Infinity,
            queueLength: QUEUE_LENGTH,
        });
        model.run(3_000);
        // The servers run 480 requests a second.
        for (let round = 0; round < 200; round += 1) {
            for (let count = 0; count < 7; count += 1) {
                model.arrive(model.live[(round * 7 + count) * 13 % VM_COUNT] ?? "");
            }
            model.run(10);
        }
        expect(servers.arrivals.length).to.be.greaterThan(700);
        expect(servers.dropped).to.deep.equal([]);
    }).timeout(120_000);
});
