import { listenOn } from "@marigoldstall/fleet.rpc";
import { expect } from "chai";
import { createServer } from "node:http";

const TRIES = 20;

describe("listenOn", () => {
    // Each failed try left two listeners on the server, and Node.js warned of a leak after ten.
    it("leaves no listener on the server when the port is in use", async () => {
        const holder = createServer();
        const address = await listenOn(holder, "127.0.0.1:0");
        const server = createServer();
        const countListeners = (): number => server.listenerCount("error") + server.listenerCount("listening");
        const before = countListeners();
        for (let attempt = 0; attempt < TRIES; attempt += 1) {
            await listenOn(server, address).then(() => expect.fail("the port is in use"), () => undefined);
        }
        expect(countListeners()).to.equal(before);
        await new Promise(done => {
            holder.close(done);
        });
        expect(await listenOn(server, address)).to.equal(address);
        await new Promise(done => {
            server.close(done);
        });
    });
});
