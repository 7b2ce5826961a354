import { selectLoads } from "@marigoldstall/routing.dispatch";
import { expect } from "chai";
import { DispatchHarness } from "./dispatch-harness.js";

const COLD_BOUNDS = { overFactor: 1.5, slackRequests: 8 };
const COLD_PER_SECOND = 10;
const LOAD = { inFlight: 0, queued: 0, slots: 2, slownessPercent: 100 };
const ENABLED = { coldRequestsPerSecond: COLD_PER_SECOND, coldBounds: COLD_BOUNDS };

const stateWarmUp = (harness: DispatchHarness, coldForMs: number): void => {
    for (const instanceId of harness.state.servicesByInstance.keys()) {
        harness.atMs += 1;
        harness.send({ type: "probe-answered", instanceId, isHealthy: true, load: { ...LOAD, coldForMs } });
    }
};

const create = (opts: ConstructorParameters<typeof DispatchHarness>[0]): DispatchHarness => {
    const harness = new DispatchHarness(opts);
    harness.grantsPermits = false;
    return harness;
};

const ask = (harness: DispatchHarness, share = 1, instanceId = "i-0"): boolean => {
    const effects = harness.send({
        type: "permit-requested",
        attemptId: "remote",
        instanceId,
        replyHost: "vm-2",
        share,
    });
    const answer = effects.find(effect => effect.type === "answer-permit");
    return answer?.type === "answer-permit" && answer.isGranted;
};

describe("routing.dispatch, cold servers", () => {
    describe("a request to a cold server", () => {
        it("waits for a permit if the server is cold by its health response", () => {
            const harness = create({ servers: 1, ...ENABLED });
            stateWarmUp(harness, 3_000);
            const requestKey = harness.arrive();
            expect(harness.attemptsOf(requestKey).length).to.equal(0);
            const { attemptId = "", instanceId = "" } = harness.effectsOf("request-permit").at(-1) ?? {};
            harness.send({ type: "permit-answered", attemptId, instanceId, isGranted: true, retryAfterMs: 0 });
            expect(harness.attemptsOf(requestKey).length).to.equal(1);
        });

        it("waits for a permit if the server is cold by its registration", () => {
            const harness = create({ servers: 0, ...ENABLED });
            harness.register([DispatchHarness.server("i-0", { warmUpMs: 3_000 })]);
            harness.arrive();
            expect(harness.effectsOf("request-permit").length).to.equal(1);
        });

        // A health check costs a cold server nothing, and finds out whether it is dead or busy before a permit is spent.
        it("is preceded by a check when the report is old, and by the permit after that", () => {
            const harness = create({ servers: 1, ...ENABLED });
            stateWarmUp(harness, 3_000);
            harness.atMs += 50;
            harness.arrive();
            const types = harness.effects.map(({ type }) => type).filter(type =>
                type === "check-server" || type === "request-permit" || type === "start-attempt"
            );
            expect(types).to.deep.equal(["check-server", "request-permit"]);
        });

        // The server becomes cold again between the last report and the request.
        it("asks for a permit when the check says that the server is cold", () => {
            const harness = create({ servers: 1, ...ENABLED });
            harness.answersChecks = false;
            harness.atMs += 50;
            const requestKey = harness.arrive();
            const { attemptId = "" } = harness.effectsOf("check-server").at(-1) ?? {};
            const load = { ...LOAD, coldForMs: 2_000 };
            harness.send({ type: "server-checked", attemptId, isAnswered: true, isHealthy: true, load });
            expect(harness.effectsOf("request-permit").length).to.equal(1);
            expect(harness.attemptsOf(requestKey).length).to.equal(0);
        });

        it("goes to a warm server at once when the permit is refused", () => {
            const harness = create({ servers: 2, ...ENABLED });
            stateWarmUp(harness, 3_000);
            const requestKey = harness.arrive();
            const { attemptId = "", instanceId = "" } = harness.effectsOf("request-permit").at(-1) ?? {};
            const other = instanceId === "i-0" ? "i-1" : "i-0";
            harness.atMs += 1;
            harness.send({
                type: "probe-answered",
                instanceId: other,
                isHealthy: true,
                load: { ...LOAD, coldForMs: 0 },
            });
            harness.send({ type: "permit-answered", attemptId, instanceId, isGranted: false, retryAfterMs: 400 });
            expect(harness.lastAttempt(requestKey).instanceId).to.equal(other);
        });

        // A refusal kept a VM from a server for up to 2.5 s after it had become warm.
        it("needs no permit from the moment at which the server is warm, also after a refusal", () => {
            const harness = create({ servers: 1, ...ENABLED, route: { latencyTargetMs: 5_000, timeoutMs: 6_000 } });
            stateWarmUp(harness, 300);
            const requestKey = harness.arrive({ deadlineMs: 6_000 });
            const { attemptId = "", instanceId = "" } = harness.effectsOf("request-permit").at(-1) ?? {};
            harness.send({ type: "permit-answered", attemptId, instanceId, isGranted: false, retryAfterMs: 2_000 });
            harness.advance(320);
            expect(harness.attemptsOf(requestKey).length).to.equal(1);
        });

        it("is never a hedge", () => {
            const harness = new DispatchHarness({ servers: 2, ...ENABLED });
            const requestKey = harness.arrive();
            stateWarmUp(harness, 5_000);
            harness.advance(1_100);
            expect(harness.attemptsOf(requestKey).length).to.equal(1);
        });

        for (
            const [name, opts] of [
                ["the service", { coldBounds: COLD_BOUNDS }],
                ["the settings", { coldRequestsPerSecond: COLD_PER_SECOND }],
            ] as const
        ) {
            it(`needs no permit where ${name} has no such limit`, () => {
                const harness = create({ servers: 1, ...opts });
                stateWarmUp(harness, 3_000);
                expect(harness.attemptsOf(harness.arrive()).length).to.equal(1);
                expect(harness.state.services.get("one")?.servers.get("i-0")?.coldUntilMs).to.be.at.most(10_000);
            });
        }
    });

    describe("the VM that counts", () => {
        it("grants the cold limit, and no more than the bounds allow in any second", () => {
            const harness = create({ servers: 1, ...ENABLED });
            stateWarmUp(harness, 60_000);
            const grantedAtMs: number[] = [];
            // 100 VMs ask once in 100 ms each, after a calm time in which permits were saved.
            ask(harness);
            harness.atMs += 5_000;
            for (let count = 0; count < 5_000; count += 1) {
                harness.atMs += 1;
                if (ask(harness)) {
                    grantedAtMs.push(harness.atMs);
                }
            }
            const most = Math.max(
                ...grantedAtMs.map(atMs => grantedAtMs.filter(other => other >= atMs && other < atMs + 1_000).length),
            );
            expect(grantedAtMs.length).to.be.at.least(COLD_PER_SECOND * 5);
            expect(most).to.be.at.most(COLD_PER_SECOND * COLD_BOUNDS.overFactor + COLD_BOUNDS.slackRequests);
        });

        it("keeps bounds that leave no room for saved permits", () => {
            const coldBounds = { overFactor: 1, slackRequests: 0 };
            const harness = create({ servers: 1, coldRequestsPerSecond: COLD_PER_SECOND, coldBounds });
            stateWarmUp(harness, 60_000);
            ask(harness);
            harness.atMs += 5_000;
            expect([ask(harness), ask(harness)]).to.deep.equal([true, false]);
        });

        // The VM that asks may believe for longer than the server itself that it is cold.
        it("grants each permit for a server that it does not know as cold", () => {
            const harness = create({ servers: 1, ...ENABLED });
            expect([ask(harness), ask(harness), ask(harness)]).to.deep.equal([true, true, true]);
        });

        it("refuses a permit for a warm server if another VM counts", () => {
            expect(ask(create({ servers: 1, ...ENABLED }), 0)).to.equal(false);
        });

        it("grants the lower one of the limit that a cold server states and that of its service", () => {
            const harness = create({ servers: 1, ...ENABLED });
            stateWarmUp(harness, 60_000);
            harness.send({
                type: "limits-learned",
                limits: [{ instanceId: "i-0", startedAtUnixMs: 1, perSecond: 1, statedAtMs: harness.atMs }],
            });
            ask(harness);
            let granted = 0;
            for (let count = 0; count < 100; count += 1) {
                harness.atMs += 100;
                granted += ask(harness) ? 1 : 0;
            }
            expect(granted).to.be.within(9, 11);
        });
    });

    describe("telling others", () => {
        const question = { service: "one", vmId: "vm-1", workMs: 100, responseBytes: 400, connectedInstanceIds: [] };

        // A member sends by its hub's answer without a check of its own while the answer is fresh.
        it("answers load queries with what the servers stated", () => {
            const hub = create({ servers: 1, ...ENABLED });
            stateWarmUp(hub, 3_000);
            const selection = selectLoads(hub.state, question, { atMs: hub.atMs, random: () => 0 });
            const member = create({ servers: 1, ...ENABLED });
            member.atMs = hub.atMs;
            const { service, averageSlowness, servers = [] } = selection ?? { service: "", averageSlowness: 1 };
            member.send({ type: "loads-answered", service, averageSlowness, servers });
            const requestKey = member.arrive();
            expect(member.attemptsOf(requestKey).length).to.equal(0);
            expect(member.effectsOf("request-permit").length).to.equal(1);
        });

        it("keeps the latest statement when an earlier one arrives", () => {
            const harness = create({ servers: 1, ...ENABLED });
            stateWarmUp(harness, 3_000);
            const statedAtMs = harness.atMs - 20;
            harness.atMs += 1;
            harness.send({
                type: "loads-received",
                loads: [{
                    instanceId: "i-0",
                    load: LOAD,
                    measuredAtMs: harness.atMs,
                    warmUp: { coldUntilMs: statedAtMs, statedAtMs },
                }],
                sentRequests: [],
                failures: [],
                vmId: "vm-2",
            });
            expect(harness.state.services.get("one")?.servers.get("i-0")?.coldUntilMs).to.be.greaterThan(harness.atMs);
        });
    });
});
