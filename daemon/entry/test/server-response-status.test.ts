import { expect } from "chai";
import { EntrySite } from "./entry-site.js";
import { AttemptHarness } from "./support/attempt-harness.js";
import type { AttemptOutcome } from "./support/attempt-outcome.js";

const SIGNED = "X-Request-Id: abc\r\nX-Server-Stamp: s\r\n";

describe("Status of a server's response", () => {
    let harness: AttemptHarness;

    beforeEach(async () => {
        harness = new AttemptHarness();
        await harness.start();
    });

    afterEach(() => harness.stop());

    const run = (): Promise<AttemptOutcome> => harness.run();

    // The caller received a status that no server can have meant, such as 999, as the answer to its request.
    describe("when the status line is not the one of a final response", () => {
        const statusLines: readonly (readonly [string, string])[] = [
            ["status 000", "HTTP/1.1 000 OK"],
            ["status 099", "HTTP/1.1 099 OK"],
            ["status 101 without an upgrade", "HTTP/1.1 101 OK"],
            ["status 600", "HTTP/1.1 600 OK"],
            ["status 999", "HTTP/1.1 999 OK"],
            ["five digits", "HTTP/1.1 99999 OK"],
            ["four digits", "HTTP/1.1 2000 OK"],
            ["two digits", "HTTP/1.1 20 OK"],
            ["a letter in the status", "HTTP/1.1 2x0 OK"],
            ["a negative status", "HTTP/1.1 -20 OK"],
            ["a signed status of three characters", "HTTP/1.1 +20 OK"],
            ["an empty status", "HTTP/1.1  OK"],
            ["no status", "HTTP/1.1"],
            ["no status line", "Server: x"],
            ["an empty line only", ""],
            ["two spaces", "HTTP/1.1  200 OK"],
            ["HTTP/0.9", "HTTP/0.9 200 OK"],
            ["HTTP/2.0", "HTTP/2.0 200 OK"],
            ["HTTP/3.0", "HTTP/3.0 200 OK"],
            ["another protocol", "ICY 200 OK"],
            ["a request line", "GET / HTTP/1.1"],
            ["a control character in the reason phrase", "HTTP/1.1 200 O\u0001K"],
        ];
        for (const [description, statusLine] of statusLines) {
            it(`counts ${description} as lost and does not use the connection again`, async () => {
                harness.onRequest = socket => {
                    socket.write(`${statusLine}\r\n${SIGNED}Content-Length: 2\r\n\r\nok`);
                };
                expect((await run()).result).to.match(/^lost: /);
                harness.onRequest = socket => {
                    socket.write(`HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 2\r\n\r\nok`);
                };
                expect((await run()).result).to.equal("answered");
                expect(harness.connections).to.equal(2);
            });
        }

        // The head of such a response stated that the request had not run, which nothing in it can prove.
        it("does not believe that the request was not run", async () => {
            harness.onRequest = socket => {
                socket.write("HTTP/1.1 000 X\r\nX-Request-Id: abc\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            };
            expect((await run()).result).to.match(/^lost: .*000/);
        });

        for (const status of [100, 102, 150, 199]) {
            it(`counts ${status} as lost when the connection ends after it`, async () => {
                harness.onRequest = socket => {
                    socket.end(`HTTP/1.1 ${status} X\r\n${SIGNED}\r\n`);
                };
                expect((await run()).result).to.match(/^lost: /);
            });
        }
    });

    for (const statusLine of ["HTTP/1.1 200", "HTTP/1.0 200 OK", "HTTP/1.1 299 Any", "HTTP/1.1 599 Any"]) {
        it(`accepts a response that starts with "${statusLine}"`, async () => {
            harness.onRequest = socket => {
                socket.end(`${statusLine}\r\n${SIGNED}Content-Length: 2\r\n\r\nok`);
            };
            expect(await run()).to.include({ result: "answered", body: "ok" });
        });
    }

    // The bytes after such a head are the start of the next response if they are not discarded with the connection.
    describe("when a response that has no body is followed by bytes", () => {
        for (const status of [204, 304]) {
            for (const isSplit of [false, true]) {
                it(`never uses the connection of a ${status} again, with ${isSplit ? "two writes" : "one write"}`, async () => {
                    harness.onRequest = socket => {
                        const head = `HTTP/1.1 ${status} X\r\n${SIGNED}Content-Length: 5\r\n\r\n`;
                        if (isSplit) {
                            socket.write(head);
                            setTimeout(() => socket.write("hello"), 10);
                        }
                        else {
                            socket.write(`${head}hello`);
                        }
                    };
                    const { result, body = "" } = await run();
                    expect(result).to.match(/^(?:answered$|lost: )/);
                    expect(body, "a caller cannot read a body of such a response").to.equal("");
                    await new Promise(resolve => {
                        setTimeout(resolve, 30);
                    });
                    harness.onRequest = socket => {
                        socket.write(`HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 2\r\n\r\nok`);
                    };
                    expect((await run()).result).to.equal("answered");
                    expect(harness.connections).to.equal(2);
                });
            }
        }
    });

    // A caller that reads by the stated length waited for a body that a 204 cannot have. Without the body, the attempt
    // itself waited for it until the deadline.
    for (const body of ["", "hello"]) {
        it(`passes on a 204 that announces a body without it, when the server sends ${body.length} bytes`, async () => {
            harness.onRequest = socket => {
                socket.write(`HTTP/1.1 204 X\r\n${SIGNED}Content-Length: 5\r\n\r\n${body}`);
            };
            const { result, body: received, headerNames } = await run();
            expect({ result, received }).to.deep.equal({ result: "answered", received: "" });
            expect(headerNames).to.include("x-server-stamp").and.not.to.include("content-length");
        });
    }

    // A caller that is told 200 to 599 by a server, or that nothing ran, acts on it.
    describe("when one of the servers sends an invalid status for each request that it ran", () => {
        let site: EntrySite;

        const start = async (instanceIds: readonly string[], statusLine: string): Promise<void> => {
            site = new EntrySite({ vmCount: 1 });
            await site.start({
                instanceIds,
                whenStored: () => {
                    site.publish(1);
                    instanceIds.forEach(instanceId => {
                        site.register(instanceId);
                    });
                },
            });
            site.setStatusLine("i-1", statusLine);
        };

        afterEach(() => site.stop());

        for (const statusLine of ["HTTP/1.1 000 X", "HTTP/1.1 600 X", "HTTP/1.1 101 X", "HTTP/2.0 200 X"]) {
            it(`sends requests that may be repeated again after "${statusLine}"`, async () => {
                await start(["i-1", "i-2"], statusLine);
                for (let count = 0; count < 10; count += 1) {
                    const [outcome] = await site.send(1);
                    expect(outcome).to.include({ statusCode: 200, body: `answer to ${outcome?.requestId}` });
                }
            });

            it(`answers 502 to others after "${statusLine}"`, async () => {
                await start(["i-1"], statusLine);
                const [outcome] = await site.send(1, { isIdempotent: false });
                expect(outcome?.statusCode).to.equal(502);
            });
        }
    });
});
