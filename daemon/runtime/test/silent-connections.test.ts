import { BackendServer } from "@marigoldstall-private/backend-server";
import { expect } from "chai";
import { sendRequest } from "./support/send-request.js";
import { TestSite } from "./support/test-site.js";

describe("daemon.runtime with connections that become silent permanently", function() {
    this.timeout(60_000);
    let site: TestSite;
    let backend: BackendServer;

    afterEach(async () => {
        await site.stop();
        await backend.close();
    });

    const directions = [["in", "to the backend server"], ["out", "from the backend server"], [
        "both",
        "in both directions",
    ]] as const;
    for (const [direction, directionText] of directions) {
        it(`runs a non-repeatable request at most once when they are silent ${directionText}, with a truthful outcome`, async () => {
            site = await TestSite.start({ backends: [] });
            backend = await BackendServer.start({
                service: "statusdesk",
                serviceTime: { distribution: "constant", meanMs: 1 },
            });
            site.vmList.add({
                vmId: "statusdesk-1",
                role: "statusdesk",
                address: backend.address,
                availabilityZone: "bezigrad",
                state: "live",
            });
            const { caller } = (await site.startReadyDaemon()).addresses;
            expect((await sendRequest(caller, { path: "/statusdesk/status/1" })).statusCode).to.equal(200);
            backend.silence(direction);
            const answer = await sendRequest(caller, {
                path: "/statusdesk/dispatch/1",
                method: "POST",
                body: "crew 4",
            });
            const outcome = answer.headers["marigoldstall-outcome"];
            const runs = backend.record().runs.filter(run => run.path === "/dispatch/1");
            expect(runs.length).to.be.lessThan(2);
            expect(outcome).to.be.oneOf(["completed", "not-run", "unknown"]);
            if (outcome !== "unknown") {
                expect(runs.length).to.equal(outcome === "completed" ? 1 : 0);
            }
            // New connections work and replace the silent ones.
            expect((await sendRequest(caller, { path: "/statusdesk/status/2" })).statusCode).to.equal(200);
        });
    }
});
