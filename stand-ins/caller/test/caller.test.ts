import { Caller, checkResponse } from "@marigoldstall-private/caller";
import type { CallClassSettings, CallerReport } from "@marigoldstall-private/caller";
import { expect } from "chai";
import { execFile } from "node:child_process";
import { createHash } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";
import { version } from "uuid";

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

const digest = (body: string) => createHash("sha256").update(body).digest("hex");

const echo = (request: IncomingMessage, body: string): string => {
    const fields = { method: request.method, path: request.url, bodyDigest: digest(body) };
    const bytes = JSON.stringify({ ...fields, bytes: 100 }).length;
    return JSON.stringify({ ...fields, bytes: bytes >= 100 ? bytes : bytes - 1 });
};

const readClass: CallClassSettings = {
    name: "read",
    method: "GET",
    path: "/service/x",
    ratePerSecond: 100,
    repeatable: true,
};

describe("Caller", () => {
    let servers: Server[] = [];
    const listen = async (handler: Handler): Promise<string> => {
        const server = createServer(handler);
        servers.push(server);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return `127.0.0.1:${(server.address() as AddressInfo).port}`;
    };
    const respondWithEcho: Handler = (request, response) => {
        let body = "";
        request.on("data", chunk => {
            body += String(chunk);
        });
        request.on("end", () => response.end(echo(request, body)));
    };

    afterEach(() => {
        for (const server of servers) {
            server.closeAllConnections();
            server.close();
        }
        servers = [];
    });

    it("sends at the configured rate, at the same times for the same seed", async () => {
        const entry = await listen(respondWithEcho);
        const gaps = async () => {
            const report = await new Caller({ entries: [entry], classes: [readClass], seed: 5, durationMs: 500 }).run();
            const due = report.calls.map(call => call.dueAtMs).sort((a, b) => a - b);
            return due.map((atMs, index) => Math.round((atMs - (due[index - 1] ?? atMs)) * 100));
        };
        const first = await gaps();
        expect(first.length).to.be.within(25, 80);
        expect(await gaps()).to.deep.equal(first);
    });

    it("measures latency from the scheduled send time, so that a stall shows in the percentiles", async () => {
        let stallUntilMs = 0;
        const entry = await listen((request, response) => {
            stallUntilMs ||= performance.now() + 150;
            setTimeout(() => respondWithEcho(request, response), Math.max(stallUntilMs - performance.now(), 0));
        });
        const report = await new Caller({ entries: [entry], classes: [readClass], seed: 1, durationMs: 120 }).run();
        expect(report.classes[0]?.p50Ms).to.be.at.least(50);
        expect(report.classes[0]?.completed).to.equal(report.calls.length);
    });

    it("retries on another entry VM when one refuses the connection", async () => {
        const refusingEntry = await listen(respondWithEcho);
        servers.pop()?.close();
        const entry = await listen(respondWithEcho);
        const report = await new Caller({
            entries: [refusingEntry, entry],
            classes: [readClass],
            seed: 1,
            durationMs: 200,
        })
            .run();
        expect(new Set(report.calls.map(call => call.outcome))).to.deep.equal(new Set(["completed"]));
        expect(new Set(report.calls.map(call => call.entry))).to.deep.equal(new Set([entry]));
    });

    it("sends both copies of a duplicated call with the same UUIDv7 through two entry VMs", async () => {
        const entries = [await listen(respondWithEcho), await listen(respondWithEcho)] as const;
        const classes = [{ ...readClass, method: "POST", repeatable: false, bodyBytes: 50, duplicateShare: 1 }];
        const { calls } = await new Caller({ entries, classes, seed: 1, durationMs: 100 }).run();
        const second = calls.find(call => call.copy === 1);
        const first = calls.find(call => call.copy === 0 && call.idempotencyKey === second?.idempotencyKey);
        expect(version(second?.idempotencyKey ?? "")).to.equal(7);
        expect(first?.entry).to.be.a("string").and.not.equal(second?.entry);
        expect(new Set(calls.map(call => call.answer))).to.deep.equal(new Set(["own"]));
    });

    it("prints its report and exits with 0 when run as a process", async () => {
        const entry = await listen(respondWithEcho);
        const plan = join(mkdtempSync(join(tmpdir(), "marigoldstall-test-")), "plan.json");
        writeFileSync(plan, JSON.stringify({ entries: [entry], classes: [readClass], seed: 1, durationMs: 100 }));
        const main = fileURLToPath(new URL("../lib/main.js", import.meta.url));
        const parameters = [main, "--plan", plan, "--until-stdin-ends"];
        const { stdout } = await promisify(execFile)(process.execPath, parameters);
        rmSync(dirname(plan), { recursive: true });
        const report = JSON.parse(stdout) as CallerReport;
        expect(report.calls).to.not.be.empty;
        expect(report.classes[0]?.completed).to.equal(report.calls.length);
    });

    it("aborts calls that never get a response and reports them as `noAnswer`", async () => {
        const entry = await listen(() => undefined);
        const report = await new Caller({
            entries: [entry],
            classes: [readClass],
            seed: 1,
            durationMs: 50,
            settleMs: 50,
        }).run();
        expect(report.classes[0]).to.include({ completed: 0, noAnswer: report.calls.length });
    });

    const cases: readonly { readonly title: string; readonly handler: Handler; readonly expected: object; }[] = [
        {
            title: "a response to another call as foreign",
            handler: (request, response) => {
                request.url = "/service/x?nonce=another";
                response.end(echo(request, ""));
            },
            expected: { outcome: "completed", answer: "foreign" },
        },
        {
            title: "a truncated response as damaged",
            handler: (request, response) => response.end(echo(request, "").replace("\"bytes\":", "\"bytes\":1")),
            expected: { outcome: "completed", answer: "damaged" },
        },
        {
            title: "a response cut off by a closed connection as no answer",
            handler: (request, response) => {
                response.writeHead(200, { "Content-Length": 1000 });
                response.write("{", () => response.destroy());
            },
            expected: { outcome: "no-answer", answer: "none", errorCode: "ECONNRESET" },
        },
        {
            title: "the outcome and reason reported by the daemon",
            handler: (request, response) => {
                const headers = { "Marigoldstall-Outcome": "not-run", "Marigoldstall-Reason": "ERR_X" };
                response.writeHead(503, headers).end();
            },
            expected: { outcome: "not-run", reason: "ERR_X", status: 503 },
        },
    ];
    for (const { title, handler, expected } of cases) {
        it(`records ${title}`, async () => {
            const entry = await listen(handler);
            const { calls } = await new Caller({ entries: [entry], classes: [readClass], seed: 1, durationMs: 60 })
                .run();
            expect(calls[0]).to.include(expected);
        });
    }

    it("detects that the backend server received a different request body", () => {
        const body = Buffer.from(JSON.stringify({
            method: "POST",
            path: "/x?nonce=n",
            bodyDigest: digest("changed"),
            bytes: 0,
        }));
        const whole = Buffer.from(body.toString().replace("\"bytes\":0", `"bytes":${body.length + 2}`));
        expect(checkResponse(whole, { method: "POST", nonce: "n", bodyDigest: digest("sent") })).to.equal("foreign");
    });
});
