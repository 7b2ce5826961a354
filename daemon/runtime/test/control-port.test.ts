import type { Daemon, DaemonStatus } from "@marigoldstall/daemon.runtime";
import { RpcClient } from "@marigoldstall/fleet.rpc";
import { expect } from "chai";
import { eventually } from "./support/eventually.js";
import { sendRequest } from "./support/send-request.js";
import { TestBackend } from "./support/test-backend.js";
import { TestSite } from "./support/test-site.js";

const CHECK = "/statusdesk/status/1";

describe("daemon.runtime control port", () => {
    const client = new RpcClient({ key: "a control key of at least 32 characters" });
    let site: TestSite;

    afterEach(() => site.stop());
    after(() => {
        client.close();
    });

    const call = async (daemon: Daemon, method: string, params: unknown): Promise<unknown> =>
        (await client.call(daemon.addresses.control, { method, params }))._unsafeUnwrap();

    it("shows in status what the daemon serves, and explains a request by its id", async () => {
        site = await TestSite.start();
        const daemon = await site.startReadyDaemon();
        const answer = await sendRequest(daemon.addresses.caller, { path: CHECK });
        const status = await call(daemon, "status.get", {}) as DaemonStatus;
        expect(status).to.include({ vmId: "entry-1", configurationVersion: 1, ready: true, probesPerSecond: 20 });
        const check = status.classes.find(report => report.className === "check");
        expect(check).to.include({ service: "statusdesk", completed: 1 });
        const { decisions } = await call(daemon, "explain.get", { requestId: answer.headers["request-id"] }) as {
            readonly decisions: readonly { readonly decision: { readonly choice?: string; }; }[];
        };
        expect(decisions.map(logged => logged.decision.choice)).to.include(site.backends[0]?.address);
    });

    const malformed = [
        "membership.heartbeat",
        "membership.evidence",
        "ownership.promise",
        "ledger.claim",
        "ledger.settle",
    ];
    it("refuses malformed parameters of every method and goes on", async () => {
        site = await TestSite.start();
        const daemon = await site.startReadyDaemon();
        for (const method of malformed) {
            const result = await client.call(daemon.addresses.control, { method, params: { evidence: 7, shares: {} } });
            expect(result._unsafeUnwrapErr().message, method).to.equal("malformed parameters");
        }
        expect(daemon.state.applied?.version).to.equal(1);
    });

    it("tells the other daemons at once that a backend server is draining", async () => {
        const draining = new TestBackend((request, response, backend) => {
            backend.shed(request, response, { Draining: "true" });
        });
        site = await TestSite.start({ backends: [draining, new TestBackend()] });
        const first = await site.startReadyDaemon("entry-1");
        const second = await site.startReadyDaemon("entry-2");
        const daemons = [first, second];
        await eventually(() => daemons.every(daemon => daemon.state.membership.members?.length === 2), {
            what: "both daemons know each other",
        });
        // The second daemon knows the instance, so that the evidence applies to it.
        draining.handler = (request, response, backend) => {
            backend.answer(request, response);
        };
        await eventually(async () => {
            await sendRequest(second.addresses.caller, { path: CHECK });
            return draining.received.length > 0;
        }, { what: "the second daemon uses the backend server" });
        draining.handler = (request, response, backend) => {
            backend.shed(request, response, { Draining: "true" });
        };
        const before = draining.received.length;
        await eventually(async () => {
            await sendRequest(first.addresses.caller, { path: CHECK });
            return draining.received.length > before;
        }, { what: "the first daemon hears that the backend server is draining" });
        await eventually(
            () => second.state.membership.evidence.length > 0,
            { what: "the second daemon was told" },
        );
        const after = draining.received.length;
        for (let index = 0; index < 20; index += 1) {
            await sendRequest(second.addresses.caller, { path: CHECK });
        }
        expect(draining.received.length).to.equal(after);
    });
});
