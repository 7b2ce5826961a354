import { BackendHost, BackendServer } from "@marigoldstall-private/backend-server";
import type { BackendFaultSettings, BackendSettings, ResponseBody } from "@marigoldstall-private/backend-server";
import { expect } from "chai";
import { createHash } from "node:crypto";
import { Agent, request } from "node:http";
import type { IncomingHttpHeaders } from "node:http";
import { connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";

interface ReceivedResponse {
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

const send = (server: BackendServer, opts: SendOptions = {}): Promise<ReceivedResponse> =>
    new Promise(resolve => {
        const noAnswer = () => resolve({ status: "no answer", headers: {}, body: "" });
        const clientRequest = request(`http://${server.address}${opts.path ?? "/x"}`, {
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
        clientRequest.on("error", noAnswer);
        clientRequest.end(opts.body);
    });

describe("BackendServer", () => {
    let server: BackendServer;
    const start = async (opts: BackendSettings = {}) => {
        server = await BackendServer.start({ serviceTime: { distribution: "constant", meanMs: 10 }, ...opts });
    };
    const cancel = async (requestId: string) => {
        const response = await send(server, { path: `/_requests/${requestId}`, method: "DELETE" });
        return (JSON.parse(response.body) as { readonly state: string; }).state;
    };
    const ranIds = () => server.record().runs.map(run => run.requestId);

    afterEach(async () => {
        await server.close();
    });

    describe("protocol", () => {
        it("echoes the request, so that a caller can detect a response to another request", async () => {
            await start({ responseBytes: 700 });
            const response = await send(server, { path: "/a?b=1", headers: { "Request-Id": "r1" }, body: "hello" });
            expect(response.status).to.equal(200);
            expect(response.headers).to.include({
                "request-id": "r1",
                "instance-id": server.instanceId,
                "load-report": "in-flight=0; queued=0; slots=2",
            });
            const body = JSON.parse(response.body) as ResponseBody;
            expect(body).to.include({ requestId: "r1", method: "POST", path: "/a?b=1", bytes: 700 });
            expect(body.bodyDigest).to.equal(createHash("sha256").update("hello").digest("hex"));
            expect(response.body).to.have.length(700);
        });

        it("records each run with its headers and times, so that tests can check claims about it", async () => {
            await start();
            await send(server, {
                headers: { "Request-Id": "r1", "Idempotency-Key": "k1", "Marigoldstall-Attempt": "2" },
            });
            const run = server.record().runs[0];
            expect(run).to.include({ requestId: "r1", idempotencyKey: "k1", attempt: 2, ending: "finished" });
            expect(run?.finishedAtMs).to.be.at.least(run?.startedAtMs ?? Infinity);
        });

        it("runs two requests concurrently, queues requests up to the limit and sheds the rest", async () => {
            await start({ queueLimit: 1, serviceTime: { distribution: "constant", meanMs: 60 } });
            const pending = [1, 2, 3, 4].map(async index => {
                await delay(5 * index);
                return await send(server, { headers: { "Request-Id": `r${index}` } });
            });
            await delay(45);
            const load = await send(server, { path: "/_load", method: "GET" });
            expect(JSON.parse(load.body)).to.deep.equal({ inFlight: 2, queued: 1, slots: 2 });
            const responses = await Promise.all(pending);
            expect(responses.map(response => response.status)).to.deep.equal([200, 200, 200, 503]);
            expect(responses[3]?.headers["not-run"]).to.equal("true");
            expect(ranIds()).to.deep.equal(["r1", "r2", "r3"]);
            expect(server.record().refusals[0]).to.include({ requestId: "r4", reason: "shed" });
        });

        it("does not start a request after its deadline", async () => {
            await start({ slots: 1, serviceTime: { distribution: "constant", meanMs: 60 } });
            const first = send(server);
            await delay(10);
            const late = await send(server, { headers: { "Request-Id": "late", "Request-Timeout-Ms": "20" } });
            expect(late).to.have.nested.property("headers.not-run", "true");
            await first;
            await delay(20);
            expect(ranIds()).not.to.include("late");
        });

        it("reports the state of a cancelled request, and does not run it later", async () => {
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

        it("removes a queued request when its caller closes the connection", async () => {
            await start({ slots: 1, serviceTime: { distribution: "constant", meanMs: 50 } });
            const first = send(server);
            await delay(10);
            const abortController = new AbortController();
            const second = send(server, { headers: { "Request-Id": "gone" }, signal: abortController.signal });
            await delay(10);
            abortController.abort();
            await Promise.all([first, second]);
            await delay(20);
            expect(ranIds()).not.to.include("gone");
        });

        it("completes its requests and refuses new ones while draining", async () => {
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

        it("is slower and reports `starting` after a cold start", async () => {
            await start({ coldStart: { forMs: 60, factor: 5 } });
            const health = async () => (await send(server, { path: "/_health", method: "GET" })).body;
            const startedAtMs = performance.now();
            expect(await health()).to.equal("{\"status\":\"starting\"}");
            await send(server);
            expect(performance.now() - startedAtMs).to.be.at.least(48);
            await delay(30);
            expect(await health()).to.equal("{\"status\":\"ok\"}");
        });

        it("samples service times with the configured mean", async () => {
            await start({ serviceTime: { distribution: "exponential", meanMs: 20 }, slots: 100 });
            await Promise.all(Array.from({ length: 100 }, () => send(server)));
            const { runs } = server.record();
            const total = runs.reduce((sum, run) => sum + (run.finishedAtMs ?? 0) - run.startedAtMs, 0);
            // The standard error of 100 samples is 2 ms, and timers add 1 to 2 ms on a busy machine.
            expect(total / runs.length).to.be.within(12, 30);
        });

        it("refuses connections above the limit", async () => {
            await start({ maxConnections: 1 });
            const held = connect(Number(server.address.split(":")[1]), "127.0.0.1");
            await new Promise(resolve => held.once("connect", resolve));
            await delay(10);
            expect((await send(server)).status).to.equal("no answer");
            held.destroy();
        });
    });

    describe("fault injection", () => {
        const cases: readonly {
            readonly title: string;
            readonly faults: BackendFaultSettings;
            readonly statuses: readonly (number | string)[];
            readonly ran: readonly string[];
        }[] = [
            {
                title: "responds with 500 without running the request",
                faults: { failFast: true },
                statuses: [500, 500],
                ran: [],
            },
            {
                title: "crashes after the run and before the response",
                faults: { crashAfterRun: true },
                statuses: ["no answer", "no answer"],
                ran: ["r1"],
            },
            {
                title: "loses one response after the run",
                faults: { loseAnswers: 1 },
                statuses: ["no answer", 200],
                ran: ["r1", "r2"],
            },
            {
                title: "truncates one response in the middle of the body",
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
            { title: "is slower with a straggler factor", faults: { stragglerFactor: 10 } },
            { title: "delays the response after the run", faults: { lateAnswerMs: 90 } },
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
            it(`silences existing connections (${direction}) but not new ones`, async () => {
                await start();
                const agent = new Agent({ keepAlive: true, maxSockets: 1 });
                expect((await send(server, { agent })).status).to.equal(200);
                await send(server, { path: "/_silence", body: JSON.stringify({ direction }) });
                const abortController = new AbortController();
                let hasResponse = false;
                const silent = send(server, { agent, headers: { "Request-Id": "s" }, signal: abortController.signal });
                void silent.then(() => {
                    hasResponse = true;
                });
                await delay(60);
                expect(hasResponse).to.equal(false);
                expect((await send(server)).status).to.equal(200);
                expect(ranIds().filter(id => id === "s")).to.have.length(ran);
                abortController.abort();
                await silent;
                agent.destroy();
            });
        }

        it("sends the bytes of a response twice on one connection", async () => {
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

        it("reports an outdated load and a false load", async () => {
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

        it("keeps its record across a restart, but no longer knows earlier requests", async () => {
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
    it("returns the record of a crashed server, and restarts it on the same address", async () => {
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
