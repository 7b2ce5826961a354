import { createClock } from "@marigoldstall/daemon.connections";
import { expect } from "chai";
import { type AddressInfo, createServer, type Server } from "node:net";
import { BackendPools } from "../src/backend-pools.js";
import type { EntryEvent } from "../src/entry-event.js";
import { EntryMetrics } from "../src/entry-metrics.js";
import { HealthChecks } from "../src/health-checks.js";
import { RefusedInputs } from "../src/refused-inputs.js";

const SERVER = { instanceId: "i-1", healthPath: "/health" };

describe("HealthChecks", () => {
    let server: Server;
    let statusLine: string;
    let address: string;

    beforeEach(async () => {
        server = createServer(socket => {
            socket.on("error", () => undefined);
            socket.on("data", () => {
                socket.end(
                    `${statusLine}\r\nX-Instance-Id: i-1\r\nX-Backend-Load: 0,0,2,1\r\nContent-Length: 0\r\n\r\n`,
                );
            });
        });
        await new Promise<void>(resolve => {
            server.listen(0, "127.0.0.1", resolve);
        });
        address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    });

    afterEach(async () => {
        await new Promise(resolve => {
            server.close(resolve);
        });
    });

    const check = (send: (checks: HealthChecks) => void): Promise<EntryEvent> =>
        new Promise(resolve => {
            const clock = createClock({ seed: 1 });
            const metrics = new EntryMetrics();
            send(
                new HealthChecks({
                    pools: new BackendPools({ clock, onIdleChanged: () => undefined, onOpened: () => undefined }),
                    metrics,
                    refusedInputs: new RefusedInputs({ metrics, log: { write: () => undefined }, nowMs: clock.atMs }),
                    dispatch: resolve,
                }),
            );
        });
    const probe = (): Promise<EntryEvent> =>
        check(checks => {
            checks.sendProbe({ type: "probe-server", ...SERVER, address });
        });
    const checkBeforeRequest = (): Promise<EntryEvent> =>
        check(checks => {
            checks.sendPreflightCheck({ type: "check-server", attemptId: "a", ...SERVER, address });
        });

    // The server counted as one that answers, and was chosen for its low load.
    for (const line of ["HTTP/1.1 000 OK", "HTTP/1.1 101 OK", "HTTP/1.1 999 OK", "HTTP/2.0 200 OK"]) {
        it(`count a server as not answering after "${line}"`, async () => {
            statusLine = line;
            expect(await probe()).to.include({ type: "probe-failed" });
            expect(await checkBeforeRequest()).to.include({ isAnswered: false, isHealthy: false, load: undefined });
        });
    }

    it("count a server that answers 200 as healthy, and one that answers 503 as unhealthy", async () => {
        for (const [line, isHealthy] of [["HTTP/1.1 200 OK", true], ["HTTP/1.1 503 Busy", false]] as const) {
            statusLine = line;
            expect(await probe()).to.include({ type: "probe-answered", isHealthy });
            expect(await checkBeforeRequest()).to.include({ isAnswered: true, isHealthy });
        }
    });
});
