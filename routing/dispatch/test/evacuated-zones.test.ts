import { selectLoads } from "@marigoldstall/routing.dispatch";
import { expect } from "chai";
import { DispatchHarness } from "./dispatch-harness.js";

const evacuate = (harness: DispatchHarness, zones: readonly string[]): void => {
    harness.send({ type: "zones-evacuated", zones });
};

/** A service with two servers in each of two zones. The own zone is "east". */
const createHarness = (route = {}): DispatchHarness => {
    const harness = new DispatchHarness({ servers: 0, route });
    const servers = ["east", "west"].flatMap(availabilityZone =>
        [0, 1].map(index => DispatchHarness.server(`${availabilityZone}-${index}`, { availabilityZone }))
    );
    harness.register(servers);
    for (const { instanceId } of servers) {
        harness.send({ type: "idle-connections-changed", instanceId, idleConnections: 1 });
        harness.reportLoad(instanceId, {});
    }
    return harness;
};

describe("routing.dispatch, evacuated zones", () => {
    it("sends requests to other zones until the zone is back in service", () => {
        const harness = createHarness();
        evacuate(harness, ["east"]);
        const sentTo = (): string => harness.lastAttempt(harness.arrive()).instanceId;
        expect([sentTo(), sentTo(), sentTo()].filter(id => id.startsWith("east"))).to.deep.equal([]);
        evacuate(harness, []);
        expect(sentTo()).to.match(/^east/);
    });

    it("rejects with 503 when all servers of the service are in evacuated zones", () => {
        const harness = createHarness();
        evacuate(harness, ["east", "west"]);
        expect(harness.rejectionOf(harness.arrive())?.statusCode).to.equal(503);
    });

    // The zone may be evacuated in the round trip between the check, or the permit, and the request.
    for (const step of ["check", "permit"] as const) {
        it(`sends nothing to a server whose zone was evacuated after its ${step} was asked for`, () => {
            const harness = createHarness();
            harness.answersChecks = false;
            harness.grantsPermits = false;
            if (step === "permit") {
                const limits = ["east-0", "east-1"].map(instanceId => ({
                    instanceId,
                    startedAtUnixMs: 1,
                    perSecond: 5,
                    statedAtMs: harness.atMs,
                }));
                harness.send({ type: "limits-learned", limits });
            }
            harness.atMs += 50;
            const requestKey = harness.arrive();
            const asked = harness.effects.find(effect =>
                effect.type === (step === "check" ? "check-server" : "request-permit")
            ) as { readonly attemptId: string; readonly instanceId: string; } | undefined;
            expect(asked?.instanceId).to.match(/^east/);
            evacuate(harness, ["east"]);
            harness.answersChecks = true;
            const { attemptId = "", instanceId = "" } = asked ?? {};
            if (step === "check") {
                const load = { inFlight: 0, queued: 0, slots: 2, slownessPercent: 100 };
                harness.send({ type: "server-checked", attemptId, isAnswered: true, isHealthy: true, load });
            }
            else {
                harness.send({ type: "permit-answered", attemptId, instanceId, isGranted: true, retryAfterMs: 0 });
            }
            expect(harness.attemptsOf(requestKey).map(attempt => attempt.instanceId.slice(0, 4))).to.deep.equal([
                "west",
            ]);
        });
    }

    it("retries a failed request in another zone", () => {
        const harness = createHarness();
        const requestKey = harness.arrive();
        evacuate(harness, ["east"]);
        harness.fail(harness.lastAttempt(requestKey).attemptId, "lost");
        expect(harness.lastAttempt(requestKey).instanceId).to.match(/^west/);
    });

    it("sends no hedge into the zone", () => {
        const harness = createHarness();
        const requestKey = harness.arrive();
        evacuate(harness, ["east"]);
        for (const instanceId of ["east-0", "east-1"]) {
            harness.reportLoad(instanceId, {});
        }
        harness.advance(1_100);
        const [, ...hedges] = harness.attemptsOf(requestKey);
        expect(hedges.map(({ instanceId }) => instanceId.slice(0, 4))).to.deep.equal(["west"]);
    });

    // A member that has not heard of the evacuation yet must not be sent there by its hub.
    it("leaves the servers out of the answers to load queries, also those with a connection", () => {
        const harness = createHarness();
        evacuate(harness, ["east"]);
        const question = {
            service: "one",
            vmId: "vm-1",
            workMs: 100,
            responseBytes: 400,
            connectedInstanceIds: ["east-0"],
        };
        const selection = selectLoads(harness.state, question, { atMs: harness.atMs, random: () => 0 });
        expect(selection?.servers.map(({ instanceId }) => instanceId)).to.have.members(["west-0", "west-1"]);
    });
});
