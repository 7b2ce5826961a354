import { BackendPool, createClock, type ExchangeResult } from "@marigoldstall/daemon.connections";
import { expect } from "chai";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";

describe("BackendPool", () => {
    let server: Server;
    let pool: BackendPool;
    let body: string;

    beforeEach(async () => {
        server = createServer({}, (request, response) => {
            request.resume();
            response.end(body);
        });
        await new Promise<void>(resolve => {
            server.listen(0, "127.0.0.1", resolve);
        });
        pool = new BackendPool({
            address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
            maxConnections: 1,
            clock: createClock({ seed: 1 }),
        });
    });

    afterEach(async () => {
        pool.closeAll();
        await new Promise(resolve => {
            server.close(resolve);
        });
    });

    const exchange = (): Promise<ExchangeResult | undefined> =>
        new Promise(resolve => {
            pool.exchange({ method: "GET", path: "/", timeoutMs: 500, mode: "any" }, result => {
                resolve(result);
            });
        });

    // Bodies were parsed for all callers. Each health check, whose response has none, paid for a SyntaxError.
    describe("the body of a response", () => {
        it("is parsed as JSON for a caller that asks for it", async () => {
            body = `{"state":"never-seen"}`;
            expect((await exchange())?.parseBody()).to.deep.equal({ state: "never-seen" });
        });

        it("is undefined when it is empty or no JSON", async () => {
            for (body of ["", "ok", "{"]) {
                expect((await exchange())?.parseBody()).to.equal(undefined);
            }
        });

        it("stays that of its own response when the connection is used again", async () => {
            body = "1";
            const first = await exchange();
            body = "2";
            await exchange();
            expect(first?.parseBody()).to.equal(1);
        });
    });
});
