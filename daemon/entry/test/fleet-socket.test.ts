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
});
