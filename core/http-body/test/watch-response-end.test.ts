import { CheckedAgent, watchResponseEnd } from "@marigoldstall/core.http-body";
import { expect } from "chai";
import { Agent, type ClientRequest, type IncomingMessage, request as httpRequest } from "node:http";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";

const HEAD = "HTTP/1.1 200 OK\r\n\r\n";
const LATER_MS = 10;
// More than the buffers of a connection take.
const LONG_BYTES = 16 * 1_024 * 1_024;

const turn = (): Promise<void> =>
    new Promise(resolve => {
        setImmediate(resolve);
    });

describe("watchResponseEnd", () => {
    let server: Server;
    let agent: Agent;
    let sockets: Socket[];
    let request: ClientRequest;
    let response: IncomingMessage | undefined;
    let requestErrors: string[];
    let results: string[];

    beforeEach(async () => {
        sockets = [];
        results = [];
        requestErrors = [];
        response = undefined;
        agent = new CheckedAgent({ keepAlive: true });
        server = createServer({ noDelay: true }, socket => {
            sockets.push(socket);
            socket.on("error", () => undefined);
        });
        await new Promise<void>(resolve => {
            server.listen(0, "127.0.0.1", resolve);
        });
    });

    afterEach(async () => {
        agent.destroy();
        for (const socket of sockets) {
            socket.destroy();
        }
        await new Promise(resolve => {
            server.close(resolve);
        });
    });

    /** Sends a request and returns the server's side of its connection, on which nothing is read. */
    const send = async (body?: Buffer): Promise<Socket> => {
        const { port } = server.address() as AddressInfo;
        request = httpRequest({ agent, host: "127.0.0.1", port, method: "POST" });
        request.on("error", (error: NodeJS.ErrnoException) => {
            requestErrors.push(error.code ?? error.message);
        });
        request.on("response", message => {
            response = message;
            let text = "";
            message.on("data", (chunk: Buffer) => {
                text += chunk.toString();
            });
            watchResponseEnd(message, {
                onComplete: ({ isConnectionEnd }) => {
                    results.push(`complete: ${text}, by ${isConnectionEnd ? "connection" : "framing"}`);
                },
                onCut: () => {
                    results.push("cut");
                },
            });
        });
        request.write(body ?? "first");
        while (sockets.length === 0) {
            await turn();
        }
        return sockets[0] as Socket;
    };

    const finish = async (): Promise<readonly string[]> => {
        while (!request.destroyed) {
            await turn();
        }
        // A second report would come now.
        await new Promise(resolve => {
            setTimeout(resolve, LATER_MS);
        });
        return results;
    };

    const readHead = async (socket: Socket): Promise<void> => {
        socket.write(HEAD);
        while (response === undefined) {
            await turn();
        }
    };

    const write = (socket: Socket, text: string): Promise<void> =>
        new Promise(resolve => {
            socket.write(text, () => {
                resolve();
            });
        });

    describe("with a body that the end of the connection delimits", () => {
        it("reports it once as complete when the connection ends", async () => {
            (await send()).end(`${HEAD}whole`);
            expect(await finish()).to.deep.equal(["complete: whole, by connection"]);
        });

        it("reports it as cut when the connection is reset behind the part that is read", async () => {
            const socket = await send();
            await readHead(socket);
            await write(socket, "part");
            socket.resetAndDestroy();
            expect(await finish()).to.deep.equal(["cut"]);
        });

        it("reports it as cut when a pending write gets the error of the reset", async () => {
            const socket = await send(Buffer.alloc(LONG_BYTES));
            await readHead(socket);
            await write(socket, "part");
            socket.resetAndDestroy();
            expect(await finish()).to.deep.equal(["cut"]);
        });

        // The next read gets the part and then an end without an error.
        it("reports it as cut when a write takes the error of the reset before the part is read", async () => {
            const socket = await send();
            await readHead(socket);
            await write(socket, "part");
            socket.resetAndDestroy();
            await new Promise(resolve => {
                process.nextTick(resolve);
            });
            request.write("second");
            expect(await finish()).to.deep.equal(["cut"]);
            expect(requestErrors).to.include("ECONNRESET");
        });

        it("reports it as cut when the connection is reset while reading is paused", async () => {
            const socket = await send();
            await readHead(socket);
            response?.socket.pause();
            await write(socket, "part");
            socket.resetAndDestroy();
            await new Promise(resolve => {
                setTimeout(resolve, LATER_MS);
            });
            response?.socket.resume();
            expect(await finish()).to.deep.equal(["cut"]);
        });

        it("reports it as cut when the reset comes while the reader still has a part to read", async () => {
            const socket = await send();
            await readHead(socket);
            response?.pause();
            await write(socket, "part");
            socket.resetAndDestroy();
            await new Promise(resolve => {
                setTimeout(resolve, LATER_MS);
            });
            response?.resume();
            expect(await finish()).to.deep.equal(["cut"]);
        });

        it("reports it as complete when the connection ends while the reader still has a part to read", async () => {
            const socket = await send();
            await readHead(socket);
            response?.pause();
            socket.end("whole");
            await new Promise(resolve => {
                setTimeout(resolve, LATER_MS);
            });
            expect(results).to.deep.equal([]);
            response?.resume();
            expect(await finish()).to.deep.equal(["complete: whole, by connection"]);
        });

        for (
            const [name, body] of [["a short request", undefined], ["a long one", Buffer.alloc(LONG_BYTES)]] as const
        ) {
            it(`reports it as complete when the connection of ${name} ends and is reset then`, async () => {
                const socket = await send(body);
                await readHead(socket);
                await new Promise<void>(resolve => {
                    socket.end("whole", resolve);
                });
                socket.resetAndDestroy();
                expect(await finish()).to.deep.equal(["complete: whole, by connection"]);
                expect(requestErrors).to.deep.equal([]);
            });
        }

        it("reports it as cut on a socket whose end it cannot check", async () => {
            agent = new Agent();
            (await send()).end(`${HEAD}whole`);
            expect(await finish()).to.deep.equal(["cut"]);
        });
    });

    describe("with a length", () => {
        it("reports the body as complete and leaves no listener on the kept connection", async () => {
            const socket = await send();
            request.end();
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
            expect(await finish()).to.deep.equal(["complete: whole, by framing"]);
            const [kept] = Object.values(agent.freeSockets).flat();
            expect(kept?.listeners("end").filter(({ name }) => name === "checkEnd")).to.deep.equal([]);
        });

        for (const ending of ["end", "resetAndDestroy"] as const) {
            it(`reports a shorter body as cut after ${ending}`, async () => {
                const socket = await send();
                await write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\npart");
                socket[ending]();
                expect(await finish()).to.deep.equal(["cut"]);
            });
        }
    });
});
