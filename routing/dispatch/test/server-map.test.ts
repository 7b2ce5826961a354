import { ServerMap, type ServerState } from "@marigoldstall/routing.dispatch";
import { expect } from "chai";
import fc from "fast-check";
import { DispatchHarness } from "./dispatch-harness.js";

type Operation = readonly ["set" | "delete" | "copy", number];

const IDS = 12;

// The map of the servers was a Map that each event copied, which was the largest part of an event's cost with 156 servers
// in a service. What it holds, its order and that of a copy must be those of a Map.
describe("ServerMap", () => {
    const template = [...new DispatchHarness().state.services.get("one")?.servers.values() ?? []][0] as ServerState;

    const operations = fc.array(
        fc.tuple(fc.constantFrom("set", "set", "delete", "copy"), fc.nat({ max: IDS - 1 })) as fc.Arbitrary<Operation>,
        { maxLength: 60 },
    );

    const expectEqual = (actual: ServerMap, expected: ReadonlyMap<string, ServerState>): void => {
        expect([...actual]).to.deep.equal([...expected]);
        expect([...actual.entries()]).to.deep.equal([...expected]);
        expect([...actual.keys()]).to.deep.equal([...expected.keys()]);
        expect([...actual.values()]).to.deep.equal([...expected.values()]);
        const visited: unknown[] = [];
        actual.forEach((server, instanceId) => visited.push([instanceId, server]));
        expect(visited).to.deep.equal([...expected]);
        expect(actual.size).to.equal(expected.size);
        for (let id = 0; id < IDS; id += 1) {
            expect(actual.get(`i-${id}`)).to.equal(expected.get(`i-${id}`));
            expect(actual.has(`i-${id}`)).to.equal(expected.has(`i-${id}`));
        }
    };

    it("holds the servers of a Map after the same operations, and copies stay as they were", () => {
        fc.assert(fc.property(operations, steps => {
            let actual = new ServerMap();
            let expected = new Map<string, ServerState>();
            const copies: (readonly [ServerMap, ReadonlyMap<string, ServerState>])[] = [];
            for (const [index, [operation, id]] of steps.entries()) {
                const instanceId = `i-${id}`;
                switch (operation) {
                    case "set": {
                        const server = { ...template, measuredAtMs: index };
                        actual.set(instanceId, server);
                        expected.set(instanceId, server);
                        break;
                    }
                    case "delete":
                        actual = actual.without(instanceId);
                        expected.delete(instanceId);
                        break;
                    case "copy":
                        copies.push([actual, new Map(expected)]);
                        actual = new ServerMap(actual);
                        expected = new Map(expected);
                        break;
                }
                expectEqual(actual, expected);
            }
            for (const [copy, content] of copies) {
                expectEqual(copy, content);
            }
        }));
    });

    it("leaves the servers of an earlier state as they were when a later event changes one", () => {
        const harness = new DispatchHarness();
        const before = harness.state.services.get("one")?.servers;
        const entries = [...before ?? []];
        harness.send({ type: "idle-connections-changed", instanceId: "i-0", idleConnections: 7 });
        harness.register([DispatchHarness.server("new")]);
        expect([...before ?? []]).to.deep.equal(entries);
        expect(harness.state.services.get("one")?.servers.get("i-0")?.idleConnections).to.equal(7);
        expect(harness.state.services.get("one")?.servers.has("new")).to.equal(true);
    });
});
