import { selectBackendServers, selectEvidence, selectProbeCandidates } from "@marigoldstall/routing.state";
import { expect } from "chai";
import { RoutingHarness } from "./routing-harness.js";

const FIRST = "127.0.0.1:8000";

const conditionsOf = (harness: RoutingHarness): readonly string[] =>
    selectBackendServers(harness.state, harness.atMs).map(server => server.condition);

// Runs requests to completion one after another and returns the addresses that they were sent to.
const runSequentially = (harness: RoutingHarness, prefix: string, count: number): readonly string[] =>
    Array.from({ length: count }, (unused, index) => {
        harness.atMs += 1;
        return harness.runRequest(`${prefix}${index}`);
    });

// Sends requests until `failures` attempts on the first backend server have failed.
const failFirstServer = (harness: RoutingHarness, failures: number): void => {
    let failed = 0;
    for (let index = 0; failed < failures && index < 400; index += 1) {
        const id = `f${harness.atMs}-${index}`;
        harness.atMs += 20;
        harness.arrive(id);
        const attempt = harness.started(id)[0];
        if (attempt?.address === FIRST) {
            harness.respond(attempt.attemptId, { statusCode: 500 });
            failed += 1;
        }
        const last = harness.started(id).at(-1);
        harness.respond(last?.attemptId ?? "");
        harness.complete(last?.attemptId ?? "");
    }
};

describe("reduceRouting", () => {
    describe("leaving backend servers", () => {
        const evidence = [
            {
                name: "a draining response",
                deliver: (harness: RoutingHarness) => {
                    harness.arrive("d");
                    const [attempt] = harness.started("d");
                    harness.respond(attempt?.attemptId ?? "", { notRun: true, draining: true, instanceId: "old" });
                    return attempt?.address;
                },
            },
            {
                name: "a draining response without an instance id",
                deliver: (harness: RoutingHarness) => {
                    harness.arrive("d");
                    const [attempt] = harness.started("d");
                    harness.respond(attempt?.attemptId ?? "", { notRun: true, draining: true });
                    return attempt?.address;
                },
            },
            {
                name: "the VM list",
                deliver: (harness: RoutingHarness) => {
                    harness.listVms(
                        RoutingHarness.vms(3).map((vm, index) => ({
                            ...vm,
                            state: index === 0 ? "leaving" : "live",
                        })),
                    );
                    return FIRST;
                },
            },
            {
                name: "a peer's evidence",
                deliver: (harness: RoutingHarness) => {
                    harness.send({
                        type: "evidence-received",
                        evidence: [{
                            service: "statusdesk",
                            address: FIRST,
                            instanceId: "old",
                            kind: "leaving",
                            observedBy: "entry-2",
                        }],
                    });
                    return FIRST;
                },
            },
            {
                name: "a probe",
                deliver: (harness: RoutingHarness) => {
                    harness.send({
                        type: "load-probed",
                        address: FIRST,
                        instanceId: "old",
                        load: undefined,
                        draining: true,
                    });
                    return FIRST;
                },
            },
        ];
        for (const { name, deliver } of evidence) {
            it(`get no new requests after ${name}`, () => {
                const harness = new RoutingHarness(3);
                const address = deliver(harness);
                expect(runSequentially(harness, "r", 40)).to.not.include(address);
            });
        }

        it("are published as evidence once and repeated in heartbeats with the instance id", () => {
            const harness = new RoutingHarness(3);
            for (const id of ["a", "b", "c"]) {
                harness.arrive(id);
                const [attempt] = harness.started(id);
                harness.respond(attempt?.attemptId ?? "", {
                    notRun: true,
                    draining: true,
                    instanceId: `i-${attempt?.address}`,
                });
            }
            const published = harness.effectsOf("publish-evidence").map(effect => effect.evidence.instanceId);
            expect(new Set(published).size).to.equal(published.length);
            expect(selectEvidence(harness.state).map(each => each.instanceId)).to.have.members(published);
        });

        it("return as a new instance at the same address with a clean state, cold and with one request at a time", () => {
            const harness = new RoutingHarness(1);
            harness.send({ type: "load-probed", address: FIRST, instanceId: "old", load: undefined, draining: true });
            harness.arrive("waits");
            expect(harness.started("waits")).to.be.empty;
            harness.send({ type: "load-probed", address: FIRST, instanceId: "new", load: undefined, draining: false });
            expect(harness.started("waits")).to.have.length(1);
            expect(conditionsOf(harness)).to.deep.equal(["cold"]);
            harness.arrive("second");
            expect(harness.started("second")).to.be.empty;
            expect(harness.effectsOf("close-connections")).to.have.length(1);
        });

        it("ignore a late response from a previous instance", () => {
            const harness = new RoutingHarness(1);
            harness.runRequest("a", { instanceId: "old" });
            harness.runRequest("b", { instanceId: "new" });
            harness.runRequest("c", { instanceId: "old", draining: true });
            const [server] = selectBackendServers(harness.state, harness.atMs);
            expect(server?.instanceId).to.equal("new");
            expect(server?.condition).to.equal("cold");
        });

        it("get one repeatable request when the VM list says live for a minute, the only check without probes", () => {
            const harness = new RoutingHarness(1);
            harness.send({ type: "load-probed", address: FIRST, instanceId: "old", load: undefined, draining: true });
            harness.listVms(RoutingHarness.vms(1), harness.atMs + 59_000);
            harness.arrive("early");
            expect(harness.started("early")).to.be.empty;
            harness.listVms(RoutingHarness.vms(1), harness.atMs + 60_000);
            harness.arrive("issue", "issue");
            harness.tickAfter(10);
            expect(harness.started("issue")).to.be.empty;
            expect(harness.started("early")).to.have.length(1);
        });
    });

    describe("an unreliable VM list", () => {
        const lists = [
            { name: "is empty", count: 0, asOfMs: 2000 },
            { name: "lists only half of the VMs", count: 3, asOfMs: 2000 },
            { name: "is older than the previous one", count: 1, asOfMs: 10 },
        ];
        for (const { name, count, asOfMs } of lists) {
            it(`removes no backend server that responds when it ${name}`, () => {
                const harness = new RoutingHarness(6);
                harness.listVms(RoutingHarness.vms(count), asOfMs);
                expect(selectBackendServers(harness.state, harness.atMs)).to.have.length(6);
                for (let index = 0; index < 12; index += 1) {
                    harness.arrive(`r${index}`);
                }
                expect(new Set(harness.effectsOf("start-attempt").map(effect => effect.address)).size).to.equal(6);
            });
        }

        it("removes a missing backend server when a connection to it fails as well", () => {
            const harness = new RoutingHarness(1);
            harness.listVms([]);
            harness.arrive("r");
            harness.fail("r.1", "connect-failed");
            expect(selectBackendServers(harness.state, harness.atMs)).to.be.empty;
            harness.arrive("next");
            expect(harness.rejected("next")?.reasonCode).to.equal("ERR_MARIGOLDSTALL_NO_BACKEND_SERVER");
        });

        it("keeps the evidence that a backend server is leaving when it briefly omits the server", () => {
            const harness = new RoutingHarness(2);
            harness.send({ type: "load-probed", address: FIRST, instanceId: "old", load: undefined, draining: true });
            harness.listVms(RoutingHarness.vms(2).slice(1));
            harness.listVms(RoutingHarness.vms(2));
            expect(runSequentially(harness, "r", 20)).to.not.include(FIRST);
        });
    });

    describe("failing backend servers", () => {
        it("are ejected after five consecutive failures, for a time that doubles, and return with one request", () => {
            const harness = new RoutingHarness(4);
            failFirstServer(harness, 4);
            expect(conditionsOf(harness)[0]).to.equal("usable");
            failFirstServer(harness, 1);
            expect(conditionsOf(harness)[0]).to.equal("ejected");
            expect(runSequentially(harness, "out", 50)).to.not.include(FIRST);
            harness.atMs += 1000;
            harness.arrive("trial");
            expect(harness.started("trial")[0]?.address).to.equal(FIRST);
            harness.arrive("other");
            expect(harness.started("other")[0]?.address).to.not.equal(FIRST);
            harness.respond("trial.1", { statusCode: 500 });
            harness.atMs += 1500;
            expect(conditionsOf(harness)[0]).to.equal("ejected");
            harness.atMs += 500;
            expect(conditionsOf(harness)[0]).to.equal("probation");
            harness.runRequest("second-trial");
            expect(conditionsOf(harness)[0]).to.equal("usable");
        });

        it("are never sent a non-repeatable request as the trial that ends an ejection", () => {
            const harness = new RoutingHarness(4);
            failFirstServer(harness, 5);
            harness.atMs += 1000;
            harness.arrive("issue", "issue");
            expect(harness.started("issue")[0]?.address).to.not.equal(FIRST);
        });

        it("return after a successful probe, but not before the ejection time has passed", () => {
            const harness = new RoutingHarness(4);
            failFirstServer(harness, 5);
            const load = { inFlight: 0, queued: 0, slots: 2 };
            const probe = () => {
                harness.send({ type: "load-probed", address: FIRST, instanceId: "i", load, draining: false });
            };
            probe();
            expect(conditionsOf(harness)[0]).to.equal("ejected");
            harness.atMs += 1000;
            probe();
            expect(conditionsOf(harness)[0]).to.equal("usable");
        });

        it("are probed before the backend servers in use, since they have the oldest information", () => {
            const harness = new RoutingHarness(4);
            failFirstServer(harness, 5);
            runSequentially(harness, "r", 50);
            const candidates = selectProbeCandidates(harness.state, harness.atMs + 1);
            expect(candidates.indexOf(FIRST)).to.be.lessThan(candidates.indexOf("127.0.0.1:8002"));
        });
    });

    describe("patient requests", () => {
        it("leave one slot of each backend server to urgent requests", () => {
            const harness = new RoutingHarness(2);
            for (let index = 0; index < 4; index += 1) {
                harness.arrive(`a${index}`, "archive");
            }
            expect(harness.effectsOf("start-attempt")).to.have.length(2);
            harness.arrive("urgent");
            expect(harness.started("urgent")).to.have.length(1);
        });

        it("use both slots in a service without other classes, where no slot is reserved", () => {
            const harness = new RoutingHarness(
                2,
                RoutingHarness.classes.filter(targets => targets.urgency === "patient"),
            );
            for (let index = 0; index < 4; index += 1) {
                harness.arrive(`a${index}`, "archive");
            }
            expect(harness.effectsOf("start-attempt")).to.have.length(4);
        });

        it("are limited by the highest pressure of the last 3 s, which a lower one does not override", () => {
            const harness = new RoutingHarness(4);
            const reportPressure = (level: number) => {
                harness.send({ type: "pressure-received", pressure: [{ service: "statusdesk", level }] });
            };
            reportPressure(1);
            reportPressure(0.1);
            harness.arrive("a", "archive");
            expect(harness.rejected("a")).to.include({ outcome: "not-run", statusCode: 503 });
            harness.atMs += 3001;
            harness.arrive("b", "archive");
            expect(harness.started("b")).to.have.length(1);
        });

        it("are limited to half when an urgent class misses its target over a second, and the pressure rises", () => {
            const harness = new RoutingHarness(8);
            harness.atMs = 2000;
            for (let index = 0; index < 4; index += 1) {
                harness.arrive(`slow${index}`);
            }
            harness.atMs = 2900;
            for (const { attemptId } of harness.effectsOf("start-attempt")) {
                harness.respond(attemptId);
                harness.complete(attemptId);
            }
            harness.atMs = 3100;
            harness.runRequest("next");
            for (let index = 0; index < 8; index += 1) {
                harness.arrive(`a${index}`, "archive");
            }
            expect(harness.effectsOf("start-attempt").filter(effect => effect.requestId.startsWith("a"))).to.have
                .length(4);
        });
    });
});
