import { selectBackendServers, selectEvidence, selectProbeCandidates } from "@marigoldstall/routing.state";
import { expect } from "chai";
import { RoutingHarness } from "./routing-harness.js";

const FIRST = "127.0.0.1:8000";

const conditionsOf = (harness: RoutingHarness): readonly string[] =>
    selectBackendServers(harness.state, harness.atMs).map(server => server.condition);

// Requests one after another, each to its end; returns the addresses that they went to.
const runMany = (harness: RoutingHarness, prefix: string, count: number): readonly string[] =>
    Array.from({ length: count }, (unused, index) => {
        harness.atMs += 1;
        return harness.run(`${prefix}${index}`);
    });

// Fails the attempts of the first backend server until `failures` have failed.
const failFirst = (harness: RoutingHarness, failures: number): void => {
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
    describe("backend servers that leave", () => {
        const evidence = [
            {
                name: "a draining response",
                give: (harness: RoutingHarness) => {
                    harness.arrive("d");
                    const [attempt] = harness.started("d");
                    harness.respond(attempt?.attemptId ?? "", { notRun: true, draining: true, instanceId: "old" });
                    return attempt?.address;
                },
            },
            {
                name: "a draining response without an instance id",
                give: (harness: RoutingHarness) => {
                    harness.arrive("d");
                    const [attempt] = harness.started("d");
                    harness.respond(attempt?.attemptId ?? "", { notRun: true, draining: true });
                    return attempt?.address;
                },
            },
            {
                name: "the VM list",
                give: (harness: RoutingHarness) => {
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
                give: (harness: RoutingHarness) => {
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
                give: (harness: RoutingHarness) => {
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
        for (const { name, give } of evidence) {
            it(`get no new work after ${name}`, () => {
                const harness = new RoutingHarness(3);
                const address = give(harness);
                expect(runMany(harness, "r", 40)).to.not.include(address);
            });
        }

        it("are published as evidence once, and repeated in heartbeats with the instance", () => {
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
            const published = harness.all("publish-evidence").map(effect => effect.evidence.instanceId);
            expect(new Set(published).size).to.equal(published.length);
            expect(selectEvidence(harness.state).map(each => each.instanceId)).to.have.members(published);
        });

        it("come back as a new instance under the same address with a clean state, cold and one request at a time", () => {
            const harness = new RoutingHarness(1);
            harness.send({ type: "load-probed", address: FIRST, instanceId: "old", load: undefined, draining: true });
            harness.arrive("waits");
            expect(harness.started("waits")).to.be.empty;
            harness.send({ type: "load-probed", address: FIRST, instanceId: "new", load: undefined, draining: false });
            expect(harness.started("waits")).to.have.length(1);
            expect(conditionsOf(harness)).to.deep.equal(["cold"]);
            harness.arrive("second");
            expect(harness.started("second")).to.be.empty;
            expect(harness.all("close-connections")).to.have.length(1);
        });

        it("are not revived by a late response of a former instance", () => {
            const harness = new RoutingHarness(1);
            harness.run("a", { instanceId: "old" });
            harness.run("b", { instanceId: "new" });
            harness.run("c", { instanceId: "old", draining: true });
            const [server] = selectBackendServers(harness.state, harness.atMs);
            expect(server?.instanceId).to.equal("new");
            expect(server?.condition).to.equal("cold");
        });

        it("get one repeatable request when the VM list says live for a minute, as without probes nothing else tells", () => {
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

    describe("a VM list that cannot be trusted", () => {
        const lists = [
            { name: "is empty", count: 0, asOfMs: 2000 },
            { name: "halves", count: 3, asOfMs: 2000 },
            { name: "is older than the one before", count: 1, asOfMs: 10 },
        ];
        for (const { name, count, asOfMs } of lists) {
            it(`removes no backend server that responds when it ${name}`, () => {
                const harness = new RoutingHarness(6);
                harness.listVms(RoutingHarness.vms(count), asOfMs);
                expect(selectBackendServers(harness.state, harness.atMs)).to.have.length(6);
                for (let index = 0; index < 12; index += 1) {
                    harness.arrive(`r${index}`);
                }
                expect(new Set(harness.all("start-attempt").map(effect => effect.address)).size).to.equal(6);
            });
        }

        it("removes a backend server that is missing when a connection to it fails too", () => {
            const harness = new RoutingHarness(1);
            harness.listVms([]);
            harness.arrive("r");
            harness.fail("r.1", "connect-failed");
            expect(selectBackendServers(harness.state, harness.atMs)).to.be.empty;
            harness.arrive("next");
            expect(harness.rejected("next")?.reasonCode).to.equal("ERR_MARIGOLDSTALL_NO_BACKEND_SERVER");
        });

        it("does not forget that a backend server is leaving when it loses the server for a moment", () => {
            const harness = new RoutingHarness(2);
            harness.send({ type: "load-probed", address: FIRST, instanceId: "old", load: undefined, draining: true });
            harness.listVms(RoutingHarness.vms(2).slice(1));
            harness.listVms(RoutingHarness.vms(2));
            expect(runMany(harness, "r", 20)).to.not.include(FIRST);
        });
    });

    describe("backend servers that fail", () => {
        it("are ejected after five failures in a row, for a time that doubles, and return with one request", () => {
            const harness = new RoutingHarness(4);
            failFirst(harness, 4);
            expect(conditionsOf(harness)[0]).to.equal("usable");
            failFirst(harness, 1);
            expect(conditionsOf(harness)[0]).to.equal("ejected");
            expect(runMany(harness, "out", 50)).to.not.include(FIRST);
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
            harness.run("second-trial");
            expect(conditionsOf(harness)[0]).to.equal("usable");
        });

        it("are never sent a non-repeatable request as the trial that ends an ejection", () => {
            const harness = new RoutingHarness(4);
            failFirst(harness, 5);
            harness.atMs += 1000;
            harness.arrive("issue", "issue");
            expect(harness.started("issue")[0]?.address).to.not.equal(FIRST);
        });

        it("return after a probe that succeeds, and not before their time", () => {
            const harness = new RoutingHarness(4);
            failFirst(harness, 5);
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

        it("come before the backend servers in use in the probing order, since nothing is heard of them", () => {
            const harness = new RoutingHarness(4);
            failFirst(harness, 5);
            runMany(harness, "r", 50);
            const candidates = selectProbeCandidates(harness.state, harness.atMs + 1);
            expect(candidates.indexOf(FIRST)).to.be.lessThan(candidates.indexOf("127.0.0.1:8002"));
        });
    });

    describe("patient work", () => {
        it("leaves one slot of each backend server to urgent work", () => {
            const harness = new RoutingHarness(2);
            for (let index = 0; index < 4; index += 1) {
                harness.arrive(`a${index}`, "archive");
            }
            expect(harness.all("start-attempt")).to.have.length(2);
            harness.arrive("urgent");
            expect(harness.started("urgent")).to.have.length(1);
        });

        it("uses both slots in a service that has no other work, where nothing needs the reserve", () => {
            const harness = new RoutingHarness(
                2,
                RoutingHarness.classes.filter(targets => targets.urgency === "patient"),
            );
            for (let index = 0; index < 4; index += 1) {
                harness.arrive(`a${index}`, "archive");
            }
            expect(harness.all("start-attempt")).to.have.length(4);
        });

        it("is limited by the highest pressure of the last 3 s, which a lower one must not hide", () => {
            const harness = new RoutingHarness(4);
            const press = (level: number) => {
                harness.send({ type: "pressure-received", pressure: [{ service: "statusdesk", level }] });
            };
            press(1);
            press(0.1);
            harness.arrive("a", "archive");
            expect(harness.rejected("a")).to.include({ outcome: "not-run", statusCode: 503 });
            harness.atMs += 3001;
            harness.arrive("b", "archive");
            expect(harness.started("b")).to.have.length(1);
        });

        it("halves when an urgent class misses its target over a second, and the pressure rises", () => {
            const harness = new RoutingHarness(8);
            harness.atMs = 2000;
            for (let index = 0; index < 4; index += 1) {
                harness.arrive(`slow${index}`);
            }
            harness.atMs = 2900;
            for (const { attemptId } of harness.all("start-attempt")) {
                harness.respond(attemptId);
                harness.complete(attemptId);
            }
            harness.atMs = 3100;
            harness.run("next");
            for (let index = 0; index < 8; index += 1) {
                harness.arrive(`a${index}`, "archive");
            }
            expect(harness.all("start-attempt").filter(effect => effect.requestId.startsWith("a"))).to.have.length(4);
        });
    });
});
