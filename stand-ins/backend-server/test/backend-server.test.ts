import { BackendHost, BackendServer } from "@marigoldstall-private/backend-server";
import type { AnswerBody, BackendFaultSettings, BackendSettings } from "@marigoldstall-private/backend-server";
import { expect } from "chai";
import { createHash } from "node:crypto";
import { Agent, request } from "node:http";
import type { IncomingHttpHeaders } from "node:http";
import { connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";

interface Answer {
    readonly status: number | "no answer";
    readonly headers: IncomingHttpHeaders;
    readonly body: string;
}

interface SendOptions {
    readonly path?: string;
    readonly method?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    readonly agent?: Agent;
    readonly signal?: AbortSignal;
}

const send = (server: BackendServer, opts: SendOptions = {}): Promise<Answer> =>
    new Promise(resolve => {
        const noAnswer = () => resolve({ status: "no answer", headers: {}, body: "" });
        const sent = request(`http://${server.address}${opts.path ?? "/x"}`, {
            method: opts.method ?? "POST",
            headers: opts.headers ?? {},
            agent: opts.agent ?? false,
            ...opts.signal === undefined ? {} : { signal: opts.signal },
        }, response => {
            let body = "";
            response.on("data", chunk => {
                body += String(chunk);
            });
            response.on("end", () => resolve({ status: response.statusCode ?? 0, headers: response.headers, body }));
            response.on("error", noAnswer);
        });
        sent.on("error", noAnswer);
        sent.end(opts.body);
    });

describe("BackendServer", () => {
    let server: BackendServer;
    const start = async (opts: BackendSettings = {}) => {
        server = await BackendServer.start({ serviceTime: { distribution: "constant", meanMs: 10 }, ...opts });
    };
    const cancel = async (requestId: string) => {
        const answer = await send(server, { path: `/_requests/${requestId}`, method: "DELETE" });
        return (JSON.parse(answer.body) as { readonly state: string; }).state;
    };
    const ranIds = () => server.record().runs.map(run => run.requestId);

    afterEach(async () => {
        await server.close();
    });

    describe("the protocol", () => {
        it("echoes the request, so that a caller can tell its own answer from another's", async () => {
            await start({ responseBytes: 700 });
            const answer = await send(server, { path: "/a?b=1", headers: { "Request-Id": "r1" }, body: "hello" });
            expect(answer.status).to.equal(200);
            expect(answer.headers).to.include({
                "request-id": "r1",
                "instance-id": server.instanceId,
                "load-report": "in-flight=0; queued=0; slots=2",
            });
            const body = JSON.parse(answer.body) as AnswerBody;
            expect(body).to.include({ requestId: "r1", method: "POST", path: "/a?b=1", bytes: 700 });
            expect(body.bodyDigest).to.equal(createHash("sha256").update("hello").digest("hex"));
            expect(answer.body).to.have.length(700);
        });

        it("records what it ran with times, so that tests can check statements about it", async () => {
            await start();
            await send(server, {
                headers: { "Request-Id": "r1", "Idempotency-Key": "k1", "Marigoldstall-Attempt": "2" },
            });
            const run = server.record().runs[0];
            expect(run).to.include({ requestId: "r1", idempotencyKey: "k1", attempt: 2, ending: "finished" });
            expect(run?.finishedAtMs).to.be.at.least(run?.startedAtMs ?? Infinity);
        });

        it("runs two requests at a time, queues up to the limit and sheds above it", async () => {
            await start({ queueLimit: 1, serviceTime: { distribution: "constant", meanMs: 60 } });
            const pending = [1, 2, 3, 4].map(async index => {
                await delay(5 * index);
                return await send(server, { headers: { "Request-Id": `r${index}` } });
            });
            await delay(45);
            const load = await send(server, { path: "/_load", method: "GET" });
            expect(JSON.parse(load.body)).to.deep.equal({ inFlight: 2, queued: 1, slots: 2 });
            const answers = await Promise.all(pending);
            expect(answers.map(answer => answer.status)).to.deep.equal([200, 200, 200, 503]);
            expect(answers[3]?.headers["not-run"]).to.equal("true");
            expect(ranIds()).to.deep.equal(["r1", "r2", "r3"]);
            expect(server.record().refusals[0]).to.include({ requestId: "r4", reason: "shed" });
        });

        it("does not start a request after its time has passed", async () => {
            await start({ slots: 1, serviceTime: { distribution: "constant", meanMs: 60 } });
            const first = send(server);
            await delay(10);
            const late = await send(server, { headers: { "Request-Id": "late", "Request-Timeout-Ms": "20" } });
            expect(late).to.have.nested.property("headers.not-run", "true");
            await first;
            await delay(20);
            expect(ranIds()).not.to.include("late");
        });

        it("answers a cancellation with what is true of the request, and keeps to it", async () => {
            await start({ slots: 1, serviceTime: { distribution: "constant", meanMs: 80 } });
            const running = send(server, { headers: { "Request-Id": "running" } });
            await delay(10);
            const queued = send(server, { headers: { "Request-Id": "queued" } });
            await delay(10);
            expect(await cancel("queued")).to.equal("not-started");
            expect((await queued).headers["not-run"]).to.equal("true");
            expect(await cancel("running")).to.equal("running");
            expect((await running).status).to.equal("no answer");
            expect(await cancel("running")).to.equal("finished");
            expect(await cancel("absent")).to.equal("never-seen");
            const arrivedLater = await send(server, { headers: { "Request-Id": "absent" } });
            expect(arrivedLater.headers["not-run"]).to.equal("true");
            expect(ranIds()).to.deep.equal(["running"]);
        });

        it("drops a queued request whose caller closed the connection", async () => {
            await start({ slots: 1, serviceTime: { distribution: "constant", meanMs: 50 } });
            const first = send(server);
            await delay(10);
            const gone = new AbortController();
            const second = send(server, { headers: { "Request-Id": "gone" }, signal: gone.signal });
            await delay(10);
            gone.abort();
            await Promise.all([first, second]);
            await delay(20);
            expect(ranIds()).not.to.include("gone");
        });

        it("finishes what it has and refuses new work when it drains", async () => {
            await start({ serviceTime: { distribution: "constant", meanMs: 40 } });
            const inFlight = send(server);
            await delay(10);
            server.drain();
            const refused = await send(server);
            expect(refused.status).to.equal(503);
            expect(refused.headers).to.include({ "not-run": "true", "draining": "true" });
            expect((await inFlight).status).to.equal(200);
            const health = await send(server, { path: "/_health", method: "GET" });
            expect(JSON.parse(health.body)).to.deep.equal({ status: "draining" });
            expect(server.record().probes).to.have.length(1);
        });

        it("is slower and says so after a cold start", async () => {
            await start({ coldStart: { forMs: 60, factor: 5 } });
            const health = async () => (await send(server, { path: "/_health", method: "GET" })).body;
            const startedAtMs = performance.now();
            expect(await health()).to.equal("{\"status\":\"starting\"}");
            await send(server);
            expect(performance.now() - startedAtMs).to.be.at.least(48);
            await delay(30);
            expect(await health()).to.equal("{\"status\":\"ok\"}");
        });

        it("draws service times with the mean that is set", async () => {
            await start({ serviceTime: { distribution: "exponential", meanMs: 20 }, slots: 100 });
            await Promise.all(Array.from({ length: 100 }, () => send(server)));
            const { runs } = server.record();
            const total = runs.reduce((sum, run) => sum + (run.finishedAtMs ?? 0) - run.startedAtMs, 0);
            // 100 draws have a standard error of 2 ms; timers add a millisecond or two on a busy machine.
            expect(total / runs.length).to.be.within(12, 30);
        });

        it("refuses connections above its limit", async () => {
            await start({ maxConnections: 1 });
            const held = connect(Number(server.address.split(":")[1]), "127.0.0.1");
            await new Promise(resolve => held.once("connect", resolve));
            await delay(10);
            expect((await send(server)).status).to.equal("no answer");
            held.destroy();
        });
    });

    describe("faults", () => {
        const cases: readonly {
            readonly title: string;
            readonly faults: BackendFaultSettings;
            readonly statuses: readonly (number | string)[];
            readonly ran: readonly string[];
        }[] = [
            { title: "fails fast without running", faults: { failFast: true }, statuses: [500, 500], ran: [] },
            {
                title: "crashes after running and before answering",
                faults: { crashAfterRun: true },
                statuses: ["no answer", "no answer"],
                ran: ["r1"],
            },
            {
                title: "loses one answer after running",
                faults: { loseAnswers: 1 },
                statuses: ["no answer", 200],
                ran: ["r1", "r2"],
            },
            {
                title: "cuts one answer in the middle of the body",
                faults: { cutAnswers: 1 },
                statuses: ["no answer", 200],
                ran: ["r1", "r2"],
            },
        ];
        for (const { title, faults, statuses, ran } of cases) {
            it(title, async () => {
                await start();
                await send(server, { path: "/_faults", body: JSON.stringify(faults) });
                const first = await send(server, { headers: { "Request-Id": "r1" } });
                const second = await send(server, { headers: { "Request-Id": "r2" } });
                expect([first.status, second.status]).to.deep.equal(statuses);
                expect(ranIds()).to.deep.equal(ran);
            });
        }

        const slowCases: readonly { readonly title: string; readonly faults: BackendFaultSettings; }[] = [
            { title: "takes longer as a straggler", faults: { stragglerFactor: 10 } },
            { title: "answers late", faults: { lateAnswerMs: 90 } },
        ];
        for (const { title, faults } of slowCases) {
            it(title, async () => {
                await start();
                server.setFaults(faults);
                const startedAtMs = performance.now();
                expect((await send(server)).status).to.equal(200);
                expect(performance.now() - startedAtMs).to.be.at.least(95);
            });
        }

        for (
            const { direction, ran } of [
                { direction: "in", ran: 0 },
                { direction: "out", ran: 1 },
                { direction: "both", ran: 0 },
            ] as const
        ) {
            it(`goes silent (${direction}) on the connections that exist, while new ones work`, async () => {
                await start();
                const agent = new Agent({ keepAlive: true, maxSockets: 1 });
                expect((await send(server, { agent })).status).to.equal(200);
                await send(server, { path: "/_silence", body: JSON.stringify({ direction }) });
                const gone = new AbortController();
                let answered = false;
                const silent = send(server, { agent, headers: { "Request-Id": "s" }, signal: gone.signal });
                void silent.then(() => {
                    answered = true;
                });
                await delay(60);
                expect(answered).to.equal(false);
                expect((await send(server)).status).to.equal(200);
                expect(ranIds().filter(id => id === "s")).to.have.length(ran);
                gone.abort();
                await silent;
                agent.destroy();
            });
        }

        it("sends the bytes of an answer twice on one connection", async () => {
            await start({ responseBytes: 0 });
            server.setFaults({ duplicateAnswers: 1 });
            const socket = connect(Number(server.address.split(":")[1]), "127.0.0.1");
            let received = "";
            socket.on("data", chunk => {
                received += String(chunk);
            });
            socket.write("GET /x HTTP/1.1\r\nHost: x\r\nRequest-Id: r1\r\n\r\n");
            await delay(80);
            socket.destroy();
            expect(received.split("HTTP/1.1 200 OK")).to.have.length(3);
            expect(ranIds()).to.deep.equal(["r1"]);
        });

        it("reports a load that lags, and one that is false", async () => {
            await start({ serviceTime: { distribution: "constant", meanMs: 80 } });
            const loadReport = async () =>
                (await send(server, { path: "/_health", method: "GET" })).headers["load-report"];
            const running = send(server);
            await delay(20);
            expect(await loadReport()).to.equal("in-flight=1; queued=0; slots=2");
            server.setFaults({ reportLagMs: 60 });
            expect(await loadReport()).to.equal("in-flight=0; queued=0; slots=2");
            server.setFaults({ reportedLoad: { inFlight: 9, queued: 3 } });
            expect(await loadReport()).to.equal("in-flight=9; queued=3; slots=2");
            await running;
        });

        it("keeps its record over a restart, and has forgotten the requests", async () => {
            await start();
            const before = server.instanceId;
            await send(server, { headers: { "Request-Id": "r1" } });
            await server.restart();
            expect(server.instanceId).not.to.equal(before);
            expect(await cancel("r1")).to.equal("never-seen");
            expect(ranIds()).to.deep.equal(["r1"]);
        });
    });
});

describe("BackendHost", () => {
    it("gives the record of a server that has crashed, and restarts it on its address", async () => {
        const host = await BackendHost.start({ servers: [{ vmId: "a" }, { vmId: "b" }] });
        const control = (path: string, method = "POST") => fetch(`http://${host.controlAddress}${path}`, { method });
        const server = host.servers[0];
        expect(server && (await send(server)).status).to.equal(200);
        await control("/servers/a/_crash");
        expect(server && (await send(server)).status).to.equal("no answer");
        expect(await (await control("/_record", "GET")).json()).to.have.nested.property("[0].runs.length", 1);
        await control("/servers/a/_restart");
        expect(server && (await send(server)).status).to.equal(200);
        expect((await control("/servers/absent/_crash")).status).to.equal(404);
        await host.close();
    });
});
