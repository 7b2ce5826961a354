import { selectOwnershipHealth } from "@marigoldstall/fleet.ownership";
import { expect } from "chai";
import { Agent } from "node:http";
import { connect } from "node:net";
import type { Answer } from "./support/answer.js";
import { sendRequest } from "./support/send-request.js";
import { TestBackend } from "./support/test-backend.js";
import { TestSite } from "./support/test-site.js";
import { waitUntil } from "./support/wait-until.js";

const CHECK_PATH = "/statusdesk/status/1";

const answerAfterDelay: TestBackend["handler"] = (request, response, backend) => {
    setTimeout(() => {
        backend.answer(request, response);
    }, 100);
};

describe("daemon.runtime lifecycle", () => {
    let site: TestSite;

    afterEach(() => site.stop());

    it("stops under load without interrupting a request, also when stop is called twice", async () => {
        site = await TestSite.start({
            backends: [new TestBackend(answerAfterDelay), new TestBackend(answerAfterDelay)],
            noticeMs: 500,
        });
        const daemon = await site.startReadyDaemon();
        const agent = new Agent({ keepAlive: true });
        const answers: Answer[] = [];
        let sending = true;
        const load = [1, 2, 3, 4].map(async () => {
            while (sending) {
                answers.push(await sendRequest(daemon.addresses.caller, { path: CHECK_PATH, agent }));
            }
        });
        await waitUntil(() => answers.length >= 8, { description: "requests are answered before the stop" });
        const stopped = daemon.stop();
        const ready = await fetch(`http://${daemon.addresses.operator}/readyz`);
        expect(ready.status).to.equal(503);
        expect(await ready.text()).to.contain("stopping");
        const again = daemon.stop();
        // Like the balancer after the notice period, the callers send no new requests while some are in flight.
        const answersBefore = answers.length;
        await waitUntil(() => answers.length >= answersBefore + 4, {
            description: "requests are answered during the notice period",
        });
        sending = false;
        await Promise.all([stopped, again, ...load]);
        agent.destroy();
        expect(answers.filter(answer => answer.statusCode !== 200 || !answer.complete)).to.deep.equal([]);
        expect(answers.at(-1)?.headers.connection).to.equal("close");
    });

    it("finishes a long request after it stopped listening", async () => {
        let release: (() => void) | undefined;
        site = await TestSite.start({
            backends: [
                new TestBackend((request, response, backend) => {
                    if (request.url === "/status/1") {
                        backend.answer(request, response);
                        return;
                    }
                    release = () => {
                        backend.answer(request, response);
                    };
                }),
            ],
        });
        const daemon = await site.startReadyDaemon();
        const answer = sendRequest(daemon.addresses.caller, { path: "/statusdesk/dispatch/1", method: "POST" });
        await waitUntil(() => release !== undefined, { description: "the request is in flight" });
        let stopped = false;
        const stopping = daemon.stop().then(() => {
            stopped = true;
        });
        await waitUntil(
            async () => (await sendRequest(daemon.addresses.caller, { path: CHECK_PATH })).statusCode === undefined,
            { description: "the daemon stopped listening" },
        );
        expect(stopped).to.equal(false);
        release?.();
        expect(await answer).to.include({ statusCode: 200, complete: true });
        await stopping;
    });

    it("does not interrupt a response that a slow caller is still reading", async () => {
        // More than the operating system buffers, so that part of the response stays in the daemon.
        const bytes = 16_000_000;
        const burstBytes = 1_000_000;
        site = await TestSite.start({
            backends: [
                new TestBackend((request, response, backend) => {
                    request.resume();
                    response.writeHead(200, { ...backend.headers(request), "Content-Length": bytes });
                    response.end(Buffer.alloc(bytes));
                }),
            ],
        });
        const daemon = await site.startReadyDaemon();
        // Without the log there are no handovers to wait for, so the daemon would stop right after its last request.
        site.log.setFaults({ outage: "refuse" });
        await waitUntil(() => !selectOwnershipHealth(daemon.state.ownership, performance.now()).logAvailable, {
            description: "the daemon has detected that the log is down",
        });
        const [host, port] = daemon.addresses.caller.split(":");
        const socket = connect(Number(port), host as string, () => {
            socket.write(`GET ${CHECK_PATH} HTTP/1.1\r\nHost: x\r\n\r\n`);
        });
        let received = 0;
        let pauseAtBytes = burstBytes;
        socket.on("data", chunk => {
            received += chunk.length;
            if (received >= pauseAtBytes) {
                pauseAtBytes += burstBytes;
                socket.pause();
                setTimeout(() => socket.resume(), 150);
            }
        });
        await waitUntil(() => received > 0, { description: "the response has started" });
        await daemon.stop();
        await waitUntil(() => received >= bytes, { description: "the response has arrived completely" });
        socket.destroy();
    });

    it("fetches the configuration from a peer when the log is down at its start", async () => {
        site = await TestSite.start();
        const first = await site.startReadyDaemon("entry-1");
        site.log.setFaults({ outage: "refuse" });
        const second = await site.startDaemon("entry-2");
        await site.waitReady(second);
        expect(second.state.applied?.version).to.equal(1);
        expect((await sendRequest(second.addresses.caller, { path: CHECK_PATH })).statusCode).to.equal(200);
        await waitUntil(
            () => first.state.membership.members?.length === 2 && second.state.membership.members?.length === 2,
            { description: "both daemons know each other" },
        );
    });

    it("is not ready and does not open the caller port without a configuration", async () => {
        site = await TestSite.start();
        site.log.setFaults({ outage: "drop" });
        const daemon = await site.startDaemon("entry-1");
        await waitUntil(() => daemon.state.membership.vmList !== undefined, { description: "the VM list was read" });
        const ready = await fetch(`http://${daemon.addresses.operator}/readyz`);
        expect(ready.status).to.equal(503);
        expect(await ready.text()).to.contain("no configuration");
        expect(daemon.addresses.caller).to.equal("");
        expect((await fetch(`http://${daemon.addresses.operator}/livez`)).status).to.equal(200);
        site.log.setFaults({});
        await site.waitReady(daemon);
    });

    it("applies a new configuration version on all daemons without a restart", async () => {
        site = await TestSite.start();
        const daemons = [await site.startReadyDaemon("entry-1"), await site.startReadyDaemon("entry-2")];
        await site.publish(2);
        await waitUntil(() => daemons.every(daemon => daemon.state.applied?.version === 2), {
            description: "version 2 is applied",
        });
    });

    it("does not use values that callers send as metric labels", async () => {
        site = await TestSite.start();
        const daemon = await site.startReadyDaemon();
        for (let index = 0; index < 20; index += 1) {
            await sendRequest(daemon.addresses.caller, { path: `/service-${index}/x` });
        }
        await sendRequest(daemon.addresses.caller, { path: CHECK_PATH });
        const text = await (await fetch(`http://${daemon.addresses.operator}/metrics`)).text();
        expect(text).to.contain(
            "marigoldstall_requests_total{service=\"statusdesk\",class=\"check\",outcome=\"completed\"} 1",
        );
        expect(text).to.contain("marigoldstall_rejections_total{reason=\"ERR_MARIGOLDSTALL_UNKNOWN_SERVICE\"} 20");
        expect(text).not.to.contain("service-7");
    });
});
