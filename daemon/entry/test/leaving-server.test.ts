import { expect } from "chai";
import { FleetModel } from "./fleet-model.js";
import { ModelServers } from "./model-servers.js";

const DRAIN_LIMIT_MS = 2_000;
const STAYS_READY_MS = 20_000;

describe("a server that says that it is leaving, and stays ready in the store", () => {
    // VMs believed the store alone, which can lag by many seconds.
    it("gets no request from any VM later than the limit, also from one that restarts", () => {
        const model = new FleetModel({ vmCount: 13, zones: 3, serverCount: 8, delayMs: 1 });
        const servers = new ModelServers(model, { workMs: 100, slots: 2, limits: new Map(), limitedFromMs: Infinity });
        model.run(3_000);
        servers.leaving.add("i-0");
        const leavesAtMs = model.atMs;
        for (let elapsedMs = 0; elapsedMs < STAYS_READY_MS; elapsedMs += 20) {
            model.arrive(model.live[(elapsedMs / 20 * 7) % 13] ?? "");
            if (elapsedMs === 5_000) {
                model.restart("vm-004", { seedId: "vm-000" });
            }
            model.run(20);
        }
        const sentAtMs = servers.arrivals.filter(({ instanceId }) => instanceId === "i-0").map(({ atMs }) => atMs);
        const firstMs = sentAtMs.find(atMs => atMs >= leavesAtMs);
        expect(firstMs).not.to.equal(undefined);
        expect(Math.max(...sentAtMs)).to.be.at.most((firstMs ?? 0) + DRAIN_LIMIT_MS);
    }).timeout(60_000);
});
