import { expect } from "chai";
import { FleetModel } from "./fleet-model.js";

const RECONNECT_LIMIT_MS = 2_000;

const selectThird = (model: FleetModel, remainder: number): readonly string[] =>
    [...model.states.keys()].filter((vmId, index) => vmId !== "" && index % 3 === remainder);

// One hub in each zone, and no VM that asks another one than that.
const isOneFleet = (model: FleetModel): boolean => {
    const zones = new Set([...model.states.values()].map(({ hub }) => hub.self.availabilityZone));
    const hasOneHub = model.hubs.length === zones.size;
    return hasOneHub
        && [...model.states.values()].every(({ hub, dispatch }) =>
            hub.isHub || dispatch.loadQueryIntervalMs !== undefined
        );
};

describe("a fleet of entry daemons after VMs were silent", () => {
    // VMs that had heard nothing from each other for 4 s sent each other nothing any more, for good.
    for (const durationMs of [1_000, 6_000, 20_000]) {
        for (const remainder of [0, 1]) {
            for (const kind of ["silent", "isolated"] as const) {
                const vms = remainder === 0 ? "a third with hubs" : "a third";
                it(`is one fleet again after ${vms} was ${kind} for ${durationMs} ms`, () => {
                    const model = new FleetModel({ vmCount: 31, zones: 3 });
                    model.run(3_000);
                    selectThird(model, remainder).forEach(vmId => model[kind].add(vmId));
                    model.run(durationMs);
                    model[kind].clear();
                    expect(model.runUntil(() => isOneFleet(model), 10_000)).to.be.at.most(RECONNECT_LIMIT_MS);
                }).timeout(60_000);
            }
        }
    }
});
