import { expect } from "chai";
import { sendRequest } from "./support/send-request.js";
import { TestSite } from "./support/test-site.js";

describe("daemon.runtime end to end", () => {
    let site: TestSite;

    afterEach(() => site.stop());

    it("relays a request and its response", async () => {
        site = await TestSite.start();
        const daemon = await site.startReadyDaemon();
        const answer = await sendRequest(daemon.addresses.caller, { path: "/statusdesk/status/7?x=1" });
        expect(answer).to.include({ statusCode: 200, body: "GET /status/7?x=1 0", complete: true });
        expect(answer.headers["marigoldstall-outcome"]).to.equal("completed");
        expect(answer.headers["request-id"]).to.be.a("string");
    });
});
