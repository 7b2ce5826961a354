import {
    CheapestServers,
    countOccupied,
    decayFailures,
    DISPATCH_LIMITS,
    type ServerState,
} from "@marigoldstall/routing.dispatch";
import { expect } from "chai";
import fc from "fast-check";
import { DispatchHarness } from "./dispatch-harness.js";

const AT_MS = 10_000;

// A hub estimates every server of a service for each load query: 156 servers, and some hundred queries a second. The
// functions do less work than the plain formulas here, and must give the same results.
describe("Estimates of servers", () => {
    const harness = new DispatchHarness();
    const serverOf = (instanceId: string): ServerState =>
        harness.state.services.get("one")?.servers.get(instanceId) as ServerState;
    const template = serverOf("i-0");

    it("count the requests that a load report does not contain", () => {
        const send = fc.record({
            sentAtMs: fc.integer({ min: AT_MS - 1_500, max: AT_MS }),
            vmId: fc.constant("b"),
            expectedUntilMs: fc.option(fc.integer({ min: AT_MS - 20, max: AT_MS + 20 }), { nil: Infinity }),
        });
        const measuredAt = fc.oneof(
            fc.integer({ min: AT_MS - 1_500, max: AT_MS }),
            fc.integer({ min: AT_MS - 30, max: AT_MS }),
        );
        fc.assert(fc.property(fc.array(send), measuredAt, fc.nat({ max: 3 }), (sends, measuredAtMs, ownInFlight) => {
            const server = { ...template, unreportedSends: sends, measuredAtMs, ownInFlight };
            const isValid = AT_MS - measuredAtMs <= DISPATCH_LIMITS.reportValidForMs;
            const { inFlight = 0, queued = 0 } = template.load ?? {};
            const sinceAtMs = isValid ? measuredAtMs - DISPATCH_LIMITS.sendTransitMs : -Infinity;
            const unreported = sends.filter(({ sentAtMs, expectedUntilMs }) =>
                sentAtMs > sinceAtMs && AT_MS - sentAtMs <= DISPATCH_LIMITS.unreportedSendValidForMs
                && AT_MS <= expectedUntilMs
            ).length;
            expect(countOccupied(server, AT_MS))
                .to.equal(Math.max(ownInFlight, (isValid ? inFlight + queued : 0) + unreported));
        }));
    });

    it("decay the failures of a server", () => {
        const failures = fc.oneof(fc.constant(0), fc.double({ min: 0, max: 20, noNaN: true }));
        fc.assert(fc.property(failures, fc.nat({ max: AT_MS }), (count, failuresAtMs) => {
            const expected = count * 2 ** (-(AT_MS - failuresAtMs) / DISPATCH_LIMITS.failureHalfLifeMs);
            expect(decayFailures({ ...template, failures: count, failuresAtMs }, AT_MS)).to.equal(expected);
        }));
    });

    it("select the servers that come first when all are sorted by cost", () => {
        const costs = fc.array(fc.oneof(fc.nat({ max: 9 }), fc.constant(Infinity), fc.double({ noNaN: true })));
        fc.assert(fc.property(costs, fc.nat({ max: 20 }), (costsMs, maxCount) => {
            const candidates = costsMs.map((costMs, index) => ({
                server: { ...template, measuredAtMs: index },
                costMs,
            }));
            const cheapest = new CheapestServers({ maxCount });
            for (const { server, costMs } of candidates) {
                cheapest.add(server, costMs);
            }
            const sorted = candidates.sort((a, b) => a.costMs < b.costMs ? -1 : Number(a.costMs > b.costMs));
            expect(cheapest.servers).to.deep.equal(sorted.slice(0, maxCount).map(({ server }) => server));
        }));
    });

    // A field that the copy leaves out would be lost with the next event.
    it("keep all fields of a server that an event changes", () => {
        const before = serverOf("i-1");
        harness.send({ type: "idle-connections-changed", instanceId: "i-1", idleConnections: 9 });
        expect(serverOf("i-1")).to.deep.equal({ ...before, idleConnections: 9 });
        expect(Object.keys(serverOf("i-1"))).to.deep.equal(Object.keys(before));
    });
});
