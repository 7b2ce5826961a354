import type { Tenant } from "@marigoldstall/core.types";
import { expect } from "chai";
import fc from "fast-check";
import { FleetModel } from "./fleet-model.js";
import { ModelServers } from "./model-servers.js";

const REVOKE_MS = 5_000;
const GARDENS: Tenant = { name: "gardens", priority: 1, quota: undefined };
const PONDS: Tenant = { name: "ponds", priority: 1, quota: undefined };
const BOTH = new Map([["key-1", GARDENS], ["key-2", PONDS]]);
const WITHOUT_GARDENS = new Map([["key-2", PONDS]]);

const createFleet = (): { readonly model: FleetModel; readonly servers: ModelServers; } => {
    const model = new FleetModel({
        vmCount: 6,
        settings: { keyRevocationMs: REVOKE_MS },
        tenantsByKey: BOTH,
    });
    const servers = new ModelServers(model, { workMs: 20, slots: 8, limits: new Map(), limitedFromMs: Infinity });
    model.run(2_000);
    return { model, servers };
};

type Fault = "isolated" | "without-store" | "silent" | "suspended" | "slow-store";

const apply = (model: FleetModel, vmId: string, fault: Fault): void => {
    switch (fault) {
        case "isolated":
            model.isolated.add(vmId);
            model.withoutStore.add(vmId);
            return;
        case "without-store":
            model.withoutStore.add(vmId);
            return;
        case "silent":
            model.silent.add(vmId);
            return;
        case "suspended":
            model.dispatch(vmId, { type: "resumed", uncountedMs: 3_000 });
            return;
        case "slow-store":
            model.extraAnswerDelayMs.set(vmId, 2_000);
            return;
    }
};

const heal = (model: FleetModel, vmId: string): void => {
    model.isolated.delete(vmId);
    model.withoutStore.delete(vmId);
    model.silent.delete(vmId);
    model.extraAnswerDelayMs.delete(vmId);
};

describe("API keys that are taken away", () => {
    // A VM that was cut off went on with a key until it heard of the new configuration.
    it("stop working on a VM that is cut off within the bound, and others go on", () => {
        const { model, servers } = createFleet();
        const [cutOff = "", ...others] = model.live;
        apply(model, cutOff, "isolated");
        model.publishConfiguration(2, WITHOUT_GARDENS);
        model.run(REVOKE_MS);
        const before = servers.arrivals.length;
        model.arrive(cutOff, { apiKey: "key-1" });
        model.arrive(cutOff, { apiKey: "key-2" });
        model.arrive(others[0] ?? "", { apiKey: "key-1" });
        model.run(100);
        expect(servers.arrivals.length).to.equal(before);
        model.arrive(others[0] ?? "", { apiKey: "key-2" });
        model.run(100);
        expect(servers.arrivals.length).to.equal(before + 1);
        heal(model, cutOff);
        model.run(2_000);
        model.arrive(cutOff, { apiKey: "key-2" });
        model.run(100);
        expect(servers.arrivals.at(-1)?.vmId).to.equal(cutOff);
    });

    it("keep working without the store for as long as nothing can have changed unseen", () => {
        const { model, servers } = createFleet();
        model.live.forEach(vmId => apply(model, vmId, "without-store"));
        model.run(2_500);
        const [vmId = ""] = model.live;
        model.arrive(vmId, { apiKey: "key-1" });
        model.run(100);
        expect(servers.arrivals).to.have.length(1);
        model.run(3_000);
        model.arrive(vmId, { apiKey: "key-1" });
        model.run(100);
        expect(servers.arrivals).to.have.length(1);
        model.live.forEach(id => heal(model, id));
        model.run(2_500);
        model.arrive(vmId, { apiKey: "key-1" });
        model.run(100);
        expect(servers.arrivals).to.have.length(2);
    });

    // A read that began before a suspension and was answered after it made the configuration look current.
    it("stop working on a VM that was suspended while it read the store", () => {
        const { model, servers } = createFleet();
        const [vmId = ""] = model.hubs;
        model.live.filter(other => other !== vmId).forEach(other => model.isolated.add(other));
        model.extraAnswerDelayMs.set(vmId, 800);
        model.run(1_000);
        // The clock counts 100 ms of the 10 s that pass.
        model.dispatch(vmId, { type: "resumed", uncountedMs: 10_000 });
        model.withoutStore.add(vmId);
        model.publishConfiguration(2, WITHOUT_GARDENS);
        model.run(850);
        model.arrive(vmId, { apiKey: "key-1" });
        model.run(50);
        expect(servers.arrivals).to.have.length(0);
    });

    it("never run later than the bound, in any order of cuts, pauses, suspensions and changes", () => {
        const fault = fc.constantFrom<Fault>("isolated", "without-store", "silent", "suspended", "slow-store");
        const step = fc.record({
            vm: fc.integer({ min: 0, max: 5 }),
            fault: fc.option(fault, { nil: undefined }),
            waitMs: fc.integer({ min: 0, max: 3_000 }),
        });
        fc.assert(
            fc.property(fc.array(step, { maxLength: 6 }), fc.integer({ min: 0, max: 6 }), (steps, revokeAt) => {
                const { model, servers } = createFleet();
                const vmIds = [...model.states.keys()];
                let revokedAtMs = Infinity;
                const revoke = (): void => {
                    model.publishConfiguration(2, WITHOUT_GARDENS);
                    revokedAtMs = model.atMs;
                };
                steps.forEach(({ vm, fault: kind, waitMs }, index) => {
                    if (index === revokeAt) {
                        revoke();
                    }
                    const vmId = vmIds[vm] ?? "";
                    if (kind === undefined) {
                        heal(model, vmId);
                    }
                    else {
                        apply(model, vmId, kind);
                    }
                    model.run(waitMs);
                });
                if (revokedAtMs === Infinity) {
                    revoke();
                }
                model.run(Math.max(0, revokedAtMs + REVOKE_MS - model.atMs) + 1);
                for (const vmId of model.live) {
                    model.arrive(vmId, { apiKey: "key-1" });
                    model.run(20);
                }
                expect(servers.arrivals).to.have.length(0);
            }),
            { seed: 815, numRuns: 25, verbose: true },
        );
    }).timeout(120_000);
});
