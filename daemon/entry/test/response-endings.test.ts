import { expect } from "chai";
import type { Socket } from "node:net";
import { AttemptHarness } from "./support/attempt-harness.js";
import type { AttemptOutcome } from "./support/attempt-outcome.js";

const SIGNED = "X-Request-Id: abc\r\nX-Server-Stamp: s\r\n";
const KEPT = `HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 2\r\n\r\nok`;
// More than the buffers of a connection take, so that it is still being written when the response ends.
const LONG_UPLOAD = Buffer.alloc(30 * 1_024 * 1_024);
const LATER_MS = 10;
const DEADLINE_MS = 5_000;

// Heads of responses whose body ends with the connection.
const unframedHeads: readonly (readonly [string, string])[] = [
    ["no length", `HTTP/1.1 200 OK\r\n${SIGNED}\r\n`],
    ["no length and Connection: close", `HTTP/1.1 200 OK\r\n${SIGNED}Connection: close\r\n\r\n`],
    ["no length in HTTP/1.0", `HTTP/1.0 200 OK\r\n${SIGNED}\r\n`],
    ["Transfer-Encoding: identity", `HTTP/1.1 200 OK\r\n${SIGNED}Transfer-Encoding: identity\r\n\r\n`],
];

// Libuv reads into buffers of 64 KB, and treats one that it fills in another way than one that it does not fill.
const bodies: readonly string[] = ["", "part", "a".repeat(65_536), "a".repeat(200_000)];
// These fit into the buffers of the connection, so that a reset of the server does not discard any of their bytes.
const shortBodies: readonly string[] = ["", "part", "a".repeat(20_000)];

type Ending = (socket: Socket, text: string) => void;

// The attempt reads nothing before the server's turn of the event loop is over.
const resets: readonly (readonly [string, Ending])[] = [
    ["before any of it was read", (socket, text) => {
        socket.write(text, () => {
            socket.resetAndDestroy();
        });
    }],
    ["after all of it was read", (socket, text) => {
        socket.write(text);
        setTimeout(() => {
            socket.resetAndDestroy();
        }, LATER_MS);
    }],
    ["after its head was read and before its body was", (socket, text) => {
        const headLength = text.indexOf("\r\n\r\n") + 4;
        socket.write(text.slice(0, headLength));
        setTimeout(() => {
            socket.write(text.slice(headLength), () => {
                socket.resetAndDestroy();
            });
        }, LATER_MS);
    }],
];

const orderlyEnds: readonly (readonly [string, Ending, readonly string[]])[] = [
    ["ends", (socket, text) => {
        socket.end(text);
    }, bodies],
    ["ends after its body was read", (socket, text) => {
        socket.write(text);
        setTimeout(() => {
            socket.end();
        }, LATER_MS);
    }, bodies],
    ["ends and is reset before any of it was read", (socket, text) => {
        socket.end(text, () => {
            socket.resetAndDestroy();
        });
    }, shortBodies],
    ["ends and is reset later", (socket, text) => {
        socket.end(text);
        setTimeout(() => {
            socket.resetAndDestroy();
        }, LATER_MS);
    }, shortBodies],
];

describe("End of a server's response", () => {
    let harness: AttemptHarness;

    beforeEach(async () => {
        harness = new AttemptHarness();
        await harness.start();
    });

    afterEach(() => harness.stop());

    const respond = async (opts: {
        readonly isKept: boolean;
        readonly requestBody: Buffer | undefined;
        readonly text: string;
        readonly ending: Ending;
    }): Promise<AttemptOutcome> => {
        const { isKept, requestBody, text, ending } = opts;
        harness.pool.closeAll();
        if (isKept) {
            harness.onRequest = socket => {
                socket.write(KEPT);
            };
            expect((await harness.run()).result).to.equal("answered");
        }
        let hasEnded = false;
        harness.onRequest = socket => {
            if (!hasEnded) {
                hasEnded = true;
                // The rest of a long request stays unread.
                socket.pause();
                ending(socket, text);
            }
        };
        return harness.run({ remainingMs: DEADLINE_MS, requestBody });
    };

    for (
        const [requestName, requestBody] of [["a short request", undefined], ["a long upload", LONG_UPLOAD]] as const
    ) {
        for (const isKept of [false, true]) {
            describe(`of ${requestName} on a ${isKept ? "kept" : "new"} connection`, () => {
                for (const [headName, head] of unframedHeads) {
                    // The caller received the part that had arrived as a complete response.
                    for (const [resetName, ending] of resets) {
                        it(`is no end with ${headName}, when the connection is reset ${resetName}`, async () => {
                            for (const body of bodies) {
                                const outcome = await respond({ isKept, requestBody, text: head + body, ending });
                                expect(outcome.result, `after ${body.length} bytes`).to.match(/^lost: /);
                            }
                        });
                    }

                    for (const [endName, ending, endedBodies] of orderlyEnds) {
                        it(`is the end of the body with ${headName}, when the connection ${endName}`, async () => {
                            for (const body of endedBodies) {
                                const outcome = await respond({ isKept, requestBody, text: head + body, ending });
                                expect(outcome.result, `after ${body.length} bytes`).to.equal("answered");
                                expect(outcome.body === body, `the same ${body.length} bytes`).to.equal(true);
                            }
                        });
                    }
                }

                const cutTexts: readonly (readonly [string, string])[] = [
                    ["a length", `HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 100\r\n\r\npart`],
                    ["chunks", `HTTP/1.1 200 OK\r\n${SIGNED}Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n`],
                    [
                        "a last chunk without its end",
                        `HTTP/1.1 200 OK\r\n${SIGNED}Transfer-Encoding: chunked\r\n\r\n0\r\n`,
                    ],
                ];
                for (const [textName, text] of cutTexts) {
                    it(`is no end with ${textName} that is not complete`, async () => {
                        for (const [endName, ending] of [...resets, ...orderlyEnds]) {
                            const outcome = await respond({ isKept, requestBody, text, ending });
                            expect(outcome.result, endName).to.match(/^lost: /);
                        }
                    });
                }

                const completeTexts: readonly (readonly [string, string, string])[] = [
                    ["a length", `HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 5\r\n\r\nwhole`, "whole"],
                    [
                        "chunks",
                        `HTTP/1.1 200 OK\r\n${SIGNED}Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n`,
                        "whole",
                    ],
                    ["no body", `HTTP/1.1 204 No Content\r\n${SIGNED}\r\n`, ""],
                ];
                for (const [textName, text, body] of completeTexts) {
                    it(`changes nothing for a complete response with ${textName}`, async () => {
                        for (const [endName, ending] of [...resets, ...orderlyEnds]) {
                            const outcome = await respond({ isKept, requestBody, text, ending });
                            expect(outcome, endName).to.include({ result: "answered", body });
                        }
                    });
                }
            });
        }
    }
});
