import { expect } from "chai";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { EntrySite } from "./entry-site.js";

const HEALTH_PATH = "/health";
// More than the buffers of a connection take, so that it is still being written when the response ends.
const LONG_UPLOAD = Buffer.alloc(16 * 1_024 * 1_024);
const PARKS = "Host: parks.example\r\nX-Request-Id: abc\r\nX-Deadline-Ms: 1500\r\nConnection: close\r\n";
const SIGNED = "X-Request-Id: abc\r\nX-Server-Stamp: s\r\n";

const requests: readonly (readonly [string, string, Buffer | undefined])[] = [
    ["a safe request", `GET /read/1 HTTP/1.1\r\n${PARKS}\r\n`, undefined],
    ["an unsafe request", `POST /write/1 HTTP/1.1\r\n${PARKS}Content-Length: 0\r\n\r\n`, undefined],
    [
        "a long upload",
        `POST /write/1 HTTP/1.1\r\n${PARKS}Content-Length: ${LONG_UPLOAD.length}\r\n\r\n`,
        LONG_UPLOAD,
    ],
];

const headsWithName = (line: string): readonly string[] =>
    ["Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", ""].flatMap(framing => [
        `HTTP/1.1 200 OK\r\n${SIGNED}${framing}${line}\r\n\r\n`,
        `HTTP/1.1 200 OK\r\n${line}\r\n${SIGNED}${framing}\r\n`,
    ]);

// Lines of a response's head whose name is none.
const malformedLines: readonly (readonly [string, string])[] = [
    ["a blank inside", "X Cache: miss"],
    ["a blank before the colon", "X-Cache : miss"],
    ["a tab before the colon", "X-Cache\t: miss"],
    ["a blank at the start", " X-Cache: miss"],
    ["a blank only", " : miss"],
    ["nothing in it", ": miss"],
    ["a NUL", "X\0Cache: miss"],
    ["a control byte", "X\u0001Cache: miss"],
    ["a vertical tab", "X\u000bCache: miss"],
    ["a DEL", "X\u007fCache: miss"],
    ["a carriage return", "X\rCache: miss"],
    ["a line feed", "X\nCache: miss"],
    ["a byte above 0x7f", "X\u00e9Cache: miss"],
    ["a blank in Content-Length", "Content-Length : 3"],
    ["a control byte in Content-Length", "Content-\u0001Length: 3"],
    ["a blank in Transfer-Encoding", "Transfer-Encoding : chunked"],
    ["a control byte in Transfer-Encoding", "Transfer-\u0001Encoding: chunked"],
];

describe("Broken responses of a backend server", () => {
    let site: EntrySite;
    let sockets: Set<Socket>;

    beforeEach(() => {
        sockets = new Set();
    });

    const start = async (instanceIds: readonly string[]): Promise<void> => {
        site = new EntrySite({ vmCount: 1 });
        await site.start({
            instanceIds,
            whenStored: () => {
                site.publish(1, { maxBodyBytes: LONG_UPLOAD.length });
                instanceIds.forEach(instanceId => {
                    site.register(instanceId);
                });
            },
        });
    };

    const breakResponses = (
        instanceId: string,
        respond: (request: IncomingMessage) => void,
        shouldBreak: () => boolean = () => true,
    ): void => {
        site.intercept(instanceId, request => {
            if (request.url === HEALTH_PATH || !shouldBreak()) {
                return false;
            }
            // The rest of a long request stays unread.
            request.socket.pause();
            sockets.add(request.socket);
            respond(request);
            return true;
        });
    };

    afterEach(async () => {
        await site.stop();
        sockets.forEach(socket => {
            socket.destroy();
        });
    });

    // The caller received a 200 that ended with its connection after the part that had arrived.
    describe("without a length, whose connection is reset after a part of the body", () => {
        const respond = ({ socket, headers }: IncomingMessage): void => {
            const signed = `X-Request-Id: ${String(headers["x-request-id"])}\r\nX-Server-Stamp: s\r\n`;
            socket.write(`HTTP/1.1 200 OK\r\n${signed}\r\npart`, () => {
                socket.resetAndDestroy();
            });
        };

        for (const [name, head, body] of requests) {
            it(`never reach the caller of ${name} as a complete answer`, async () => {
                await start(["i-1"]);
                breakResponses("i-1", respond);
                const received = await site.exchangeBytes(head, body);
                expect(received).to.match(/^HTTP\/1\.1 502 /).and.not.to.include("part");
            });
        }

        it("are replaced by the answer of another server where the request may be repeated", async () => {
            await start(["i-1", "i-2"]);
            let brokenResponses = 0;
            for (const instanceId of ["i-1", "i-2"]) {
                breakResponses(instanceId, respond, () => {
                    brokenResponses += 1;
                    return brokenResponses === 1;
                });
            }
            const [outcome] = await site.send(1);
            expect(outcome).to.include({ statusCode: 200, body: `answer to ${outcome?.requestId}` });
            expect(brokenResponses).to.equal(2);
        });
    });

    describe("without a length, whose connection ends in order", () => {
        for (const [name, head, body] of requests) {
            it(`reach the caller of ${name} whole and without a length`, async () => {
                await start(["i-1"]);
                breakResponses("i-1", ({ socket }) => {
                    socket.end(`HTTP/1.1 200 OK\r\n${SIGNED}\r\nwhole`);
                });
                const received = await site.exchangeBytes(head, body);
                expect(received).to.match(/^HTTP\/1\.1 200 OK\r\n[^]*\r\n\r\nwhole$/).and.not.to.match(
                    /content-length/i,
                );
            });
        }
    });

    for (const status of ["000", "099"]) {
        describe(`with status ${status}`, () => {
            for (const [name, head, body] of requests) {
                it(`never reach the caller of ${name}`, async () => {
                    await start(["i-1"]);
                    breakResponses("i-1", ({ socket }) => {
                        socket.write(`HTTP/1.1 ${status} OK\r\n${SIGNED}Content-Length: 4\r\n\r\nbody`);
                    });
                    const received = await site.exchangeBytes(head, body);
                    expect(received).to.match(/^HTTP\/1\.1 502 /).and.not.to.include("body");
                });
            }
        });
    }

    describe("with a malformed name of a header", () => {
        beforeEach(() => start(["i-1"]));

        for (const [description, line] of malformedLines) {
            it(`never reach the caller when the name has ${description}`, async () => {
                for (const responseHead of headsWithName(line)) {
                    for (const [name, head, body] of requests) {
                        breakResponses("i-1", ({ socket }) => {
                            socket.end(Buffer.from(`${responseHead}5\r\nwhole\r\n0\r\n\r\n`, "latin1"));
                        });
                        const received = await site.exchangeBytes(head, body);
                        expect(received, `${name}, ${JSON.stringify(responseHead)}`).to.match(/^HTTP\/1\.1 502 /)
                            .and.not.to.match(/whole|miss/);
                    }
                }
            });
        }
    });
});
