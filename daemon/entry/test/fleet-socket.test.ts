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

    // Guards against a daemon that waits for ever at its start and says nothing of the port that is taken.
    it("fails to listen on a port that another process uses", async () => {
        const problems: string[] = [];
        const socket = new FleetSocket({
            host: HOST,
            port: other.address().port,
            onMessage: () => undefined,
            onProblem: problem => {
                problems.push(problem);
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
        expect(problems).to.have.length(1);
    });
});
