import { expect } from "chai";
import { createSocket, type Socket } from "node:dgram";
import { FleetSocket } from "../src/fleet-socket.js";

const HOST = "127.0.0.1";

describe("FleetSocket", () => {
    let other: Socket;

    beforeEach(async () => {
        other = createSocket("udp4");
        await new Promise<void>(resolve => {
            other.bind({ address: HOST, port: 0 }, resolve);
        });
    });

    afterEach(() => {
        other.close();
    });

    // Guards against a daemon that hangs during startup without reporting that its port is in use.
    it("rejects listen when the port is in use", async () => {
        const errors: string[] = [];
        const socket = new FleetSocket({
            host: HOST,
            port: other.address().port,
            onMessage: () => undefined,
            onRefused: () => undefined,
            onError: message => {
                errors.push(message);
            },
        });
        let failure: unknown;
        try {
            await socket.listen();
        }
        catch (error) {
            failure = error;
        }
        expect(String(failure)).to.include("EADDRINUSE");
        expect(errors).to.have.length(1);
    });

    // Guards against tries that leave listeners behind or make the next ones fail.
    it("listens once the port is free, without a warning after many failed tries", async () => {
        const port = other.address().port;
        const socket = new FleetSocket({
            host: HOST,
            port,
            onMessage: () => undefined,
            onRefused: () => undefined,
            onError: () => undefined,
        });
        const warnings: string[] = [];
        const countWarning = (warning: Error): void => {
            warnings.push(warning.name);
        };
        process.on("warning", countWarning);
        for (let attempt = 0; attempt < 20; attempt += 1) {
            await socket.listen().then(() => expect.fail("the port is in use"), () => undefined);
        }
        await new Promise<void>(done => {
            other.close(done);
        });
        await socket.listen();
        socket.close();
        process.off("warning", countWarning);
        expect(warnings).to.deep.equal([]);
        other = createSocket("udp4");
    });

    // A datagram that was sent first bound the socket to a random port, so that no try to listen could succeed.
    it("listens on its port after datagrams that were sent too early", async () => {
        const socket = new FleetSocket({
            host: HOST,
            port: other.address().port,
            onMessage: () => undefined,
            onRefused: () => undefined,
            onError: () => undefined,
        });
        await socket.listen().then(() => expect.fail("the port is in use"), () => undefined);
        const query = { vmId: "a", service: "one", workMs: 1, responseBytes: 1, connectedInstanceIds: [] };
        socket.send([HOST], { type: "load-query", ...query });
        await new Promise<void>(done => {
            other.close(done);
        });
        await socket.listen();
        socket.close();
        other = createSocket("udp4");
    });
});
