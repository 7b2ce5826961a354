import type { Daemon, DaemonStatus } from "@marigoldstall/daemon.runtime";
import { RpcClient } from "@marigoldstall/fleet.rpc";
import { expect } from "chai";
import { sendRequest } from "./support/send-request.js";
import { TestBackend } from "./support/test-backend.js";
import { TestSite } from "./support/test-site.js";
import { waitUntil } from "./support/wait-until.js";

const CHECK_PATH = "/statusdesk/status/1";

describe("daemon.runtime control port", () => {
    const client = new RpcClient({ key: "a control key of at least 32 characters" });
    let site: TestSite;

    afterEach(() => site.stop());
    after(() => {
        client.close();
    });

    const call = async (daemon: Daemon, method: string, params: unknown): Promise<unknown> =>
        (await client.call(daemon.addresses.control, { method, params }))._unsafeUnwrap();

    it("returns the status of the daemon and the decisions about a request id", async () => {
        site = await TestSite.start();
        const daemon = await site.startReadyDaemon();
        const answer = await sendRequest(daemon.addresses.caller, { path: CHECK_PATH });
        const status = await call(daemon, "status.get", {}) as DaemonStatus;
        expect(status).to.include({ vmId: "entry-1", configurationVersion: 1, ready: true, probesPerSecond: 20 });
        const check = status.classes.find(report => report.className === "check");
        expect(check).to.include({ service: "statusdesk", completed: 1 });
        const { decisions } = await call(daemon, "explain.get", { requestId: answer.headers["request-id"] }) as {
            readonly decisions: readonly { readonly decision: { readonly choice?: string; }; }[];
        };
        expect(decisions.map(logged => logged.decision.choice)).to.include(site.backends[0]?.address);
    });

    const methods = [
        "membership.heartbeat",
        "membership.evidence",
        "ownership.promise",
        "ledger.claim",
        "ledger.settle",
    ];
    it("rejects malformed parameters of every method and keeps running", async () => {
        site = await TestSite.start();
        const daemon = await site.startReadyDaemon();
        for (const method of methods) {
            const result = await client.call(daemon.addresses.control, { method, params: { evidence: 7, shares: {} } });
            expect(result._unsafeUnwrapErr().message, method).to.equal("malformed parameters");
        }
        expect(daemon.state.applied?.version).to.equal(1);
    });

    it("tells other daemons immediately that a backend server is draining", async () => {
        const draining = new TestBackend((request, response, backend) => {
            backend.shed(request, response, { Draining: "true" });
        });
        site = await TestSite.start({ backends: [draining, new TestBackend()] });
        const first = await site.startReadyDaemon("entry-1");
        const second = await site.startReadyDaemon("entry-2");
        const daemons = [first, second];
        await waitUntil(() => daemons.every(daemon => daemon.state.membership.members?.length === 2), {
            description: "both daemons know each other",
        });
        // Evidence applies to known instances only, so the second daemon has to use this one first.
        draining.handler = (request, response, backend) => {
            backend.answer(request, response);
        };
        await waitUntil(async () => {
            await sendRequest(second.addresses.caller, { path: CHECK_PATH });
            return draining.receivedPaths.length > 0;
        }, { description: "the second daemon sends requests to the backend server" });
        draining.handler = (request, response, backend) => {
            backend.shed(request, response, { Draining: "true" });
        };
        const receivedBefore = draining.receivedPaths.length;
        await waitUntil(async () => {
            await sendRequest(first.addresses.caller, { path: CHECK_PATH });
            return draining.receivedPaths.length > receivedBefore;
        }, { description: "the first daemon learns that the backend server is draining" });
        await waitUntil(
            () => second.state.membership.evidence.length > 0,
            { description: "the second daemon received the evidence" },
        );
        const receivedAfter = draining.receivedPaths.length;
        for (let index = 0; index < 20; index += 1) {
            await sendRequest(second.addresses.caller, { path: CHECK_PATH });
        }
        expect(draining.receivedPaths.length).to.equal(receivedAfter);
    });
});
