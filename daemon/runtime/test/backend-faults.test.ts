import { expect } from "chai";
import { Agent } from "node:http";
import { sendRequest } from "./support/send-request.js";
import { TestBackend } from "./support/test-backend.js";
import { TestSite } from "./support/test-site.js";

const CHECK_PATH = "/statusdesk/status/1";
const DISPATCH_REQUEST = { path: "/statusdesk/dispatch/1", method: "POST" };
// Responses up to 64 KiB are buffered until they are complete, longer ones are streamed.
const SHORT_BYTES = 1_000;
const LONG_BYTES = 200_000;

// Sends the first half of a response and then stalls.
const stallResponse = (bodyBytes: number): TestBackend["handler"] => (request, response, backend) => {
    request.resume();
    response.writeHead(200, { ...backend.headers(request), "Content-Length": bodyBytes });
    response.write("x".repeat(bodyBytes / 2));
};

const truncateResponse = (bodyBytes: number): TestBackend["handler"] => (request, response, backend) => {
    stallResponse(bodyBytes)(request, response, backend);
    setTimeout(() => response.destroy(), 20);
};

describe("daemon.runtime with failing backend servers", () => {
    let site: TestSite;
    let caller = "";

    const start = async (...handlers: TestBackend["handler"][]): Promise<readonly TestBackend[]> => {
        site = await TestSite.start({ backends: handlers.map(handler => new TestBackend(handler)) });
        caller = (await site.startReadyDaemon()).addresses.caller;
        return site.backends;
    };

    afterEach(() => site.stop());

    describe("when the connection is reset before the first byte of the response", () => {
        const reset: TestBackend["handler"] = request => {
            request.socket.destroy();
        };

        it("retries a repeatable request on another backend server", async () => {
            let failures = 0;
            const resetOnce: TestBackend["handler"] = (request, response, backend) => {
                failures += 1;
                if (failures === 1) {
                    request.socket.destroy();
                }
                else {
                    backend.answer(request, response);
                }
            };
            await start(resetOnce, resetOnce);
            const answer = await sendRequest(caller, { path: CHECK_PATH });
            expect(answer).to.include({ statusCode: 200, complete: true });
            expect(failures).to.equal(2);
        });

        for (
            const [state, isSameInstance, outcome] of [
                ["running", true, "unknown"],
                ["finished", true, "unknown"],
                ["never-seen", true, "not-run"],
                ["not-started", true, "not-run"],
                ["never-seen", false, "unknown"],
            ] as const
        ) {
            it(
                `answers ${outcome} to a non-repeatable request when the cancellation returns ${state} from ${
                    isSameInstance ? "the same" : "another"
                } instance, and never sends it twice`,
                async () => {
                    const [backend] = await start((request, response, self) => {
                        if (request.url === "/status/1") {
                            self.answer(request, response);
                        }
                        else {
                            self.instanceId = isSameInstance ? self.instanceId : "instance-2";
                            reset(request, response, self);
                        }
                    }) as [TestBackend];
                    backend.cancellationState = state;
                    await sendRequest(caller, { path: CHECK_PATH });
                    const answer = await sendRequest(caller, DISPATCH_REQUEST);
                    expect(answer.headers["marigoldstall-outcome"]).to.equal(outcome);
                    expect(answer.headers["marigoldstall-reason"]).to.match(/^ERR_MARIGOLDSTALL_/);
                    const dispatched = backend.receivedPaths.filter(path => path === "/dispatch/1");
                    // Only a confirmed cancellation allows further attempts.
                    if (outcome === "unknown") {
                        expect(dispatched).to.have.length(1);
                    }
                    expect(backend.cancelledRequestIds).to.have.length(dispatched.length);
                },
            );
        }
    });

    // The caller received HTTP/0.9 and HTTP/2.0 responses, and waited until the deadline after a 101.
    describe("when the status line is not the one of a final response", () => {
        const statusLines = [
            "HTTP/1.1 000 X",
            "HTTP/1.1 099 X",
            "HTTP/1.1 101 X",
            "HTTP/1.1 600 X",
            "HTTP/1.1 999 X",
            "HTTP/1.1 99999 X",
            "HTTP/1.1 20 X",
            "HTTP/1.1 2x0 X",
            "HTTP/1.1 -20 X",
            "HTTP/1.1  X",
            "HTTP/0.9 200 X",
            "HTTP/2.0 200 X",
            "HTTP/1.1 200 O\u0001K",
            "ICY 200 OK",
            "",
        ];
        const sendRaw: (statusLine: string) => TestBackend["handler"] = statusLine => (request, response, backend) => {
            const head = Object.entries({ ...backend.headers(request), "Upgrade": "x", "Connection": "upgrade" })
                .map(([name, value]) => `${name}: ${value}`).join("\r\n");
            request.socket.write(`${statusLine}\r\n${head}\r\nNot-Run: true\r\nContent-Length: 2\r\n\r\nok`);
        };
        for (const statusLine of statusLines) {
            it(`sends a repeatable request again after "${statusLine}", on another connection`, async () => {
                const sockets = new Set<unknown>();
                const [backend] = await start((request, response, self) => {
                    sockets.add(request.socket);
                    if (sockets.size === 1) {
                        sendRaw(statusLine)(request, response, self);
                    }
                    else {
                        self.answer(request, response);
                    }
                }) as [TestBackend];
                const answer = await sendRequest(caller, { path: CHECK_PATH });
                expect(answer).to.include({ statusCode: 200, complete: true, body: "GET /status/1 0" });
                expect(backend.receivedPaths).to.have.length(2);
            });

            it(`answers 502 to a request that may have run once after "${statusLine}"`, async () => {
                const [backend] = await start(sendRaw(statusLine)) as [TestBackend];
                const answer = await sendRequest(caller, DISPATCH_REQUEST);
                expect(answer).to.include({ statusCode: 502, complete: true });
                expect(answer.headers["marigoldstall-outcome"]).to.equal("unknown");
                expect(backend.receivedPaths).to.have.length(1);
            });
        }
    });

    it("ends a request to which the server sends interim responses without end", async () => {
        const [backend] = await start((request, response, self) => {
            if (self.receivedPaths.length > 1) {
                self.answer(request, response);
                return;
            }
            const timer = setInterval(() => request.socket.write("HTTP/1.1 102 Processing\r\n\r\n"), 2);
            request.socket.on("close", () => {
                clearInterval(timer);
            });
        }) as [TestBackend];
        const answer = await sendRequest(caller, { path: CHECK_PATH });
        expect(answer).to.include({ statusCode: 200, complete: true });
        expect(backend.receivedPaths).to.have.length(2);
    });

    // A caller that reads by the stated length waited for a body that a 204 cannot have.
    for (const body of ["", "hello"]) {
        it(`relays a 204 that announces a body without it, when the server sends ${body.length} bytes`, async () => {
            const sockets = new Set<unknown>();
            await start((request, response, self) => {
                sockets.add(request.socket);
                const head = Object.entries(self.headers(request)).map(([name, value]) => `${name}: ${value}`);
                request.socket.write(`HTTP/1.1 204 X\r\n${head.join("\r\n")}\r\nContent-Length: 5\r\n\r\n${body}`);
            });
            for (let count = 1; count <= 2; count += 1) {
                const answer = await sendRequest(caller, DISPATCH_REQUEST);
                expect(answer).to.include({ statusCode: 204, complete: true, body: "" });
                expect(answer.headers["content-length"]).to.equal(undefined);
                expect(answer.headers["marigoldstall-outcome"]).to.equal("completed");
                expect(sockets.size).to.equal(count);
            }
        });
    }

    it("closes the caller's connection when a long response is truncated", async () => {
        await start(truncateResponse(LONG_BYTES));
        const answer = await sendRequest(caller, { path: CHECK_PATH });
        expect(answer.complete).to.equal(false);
    });

    it("retries a repeatable request when a short response is truncated", async () => {
        let cuts = 0;
        await start((request, response, backend) => {
            cuts += 1;
            if (cuts === 1) {
                truncateResponse(SHORT_BYTES)(request, response, backend);
                return;
            }
            backend.answer(request, response);
        });
        const answer = await sendRequest(caller, { path: CHECK_PATH });
        expect(answer).to.include({ statusCode: 200, complete: true });
        expect(cuts).to.equal(2);
    });

    it("states the outcome when the short response to a non-repeatable request is truncated, and runs it once", async () => {
        const [backend] = await start(truncateResponse(SHORT_BYTES)) as [TestBackend];
        const answer = await sendRequest(caller, DISPATCH_REQUEST);
        expect(answer).to.include({ statusCode: 502, complete: true });
        expect(answer.headers["marigoldstall-outcome"]).to.equal("unknown");
        expect(backend.receivedPaths.filter(path => path === "/dispatch/1")).to.have.length(1);
    });

    it("does not relay a response that only the end of the connection delimits", async () => {
        await start(request => {
            request.socket.end(
                `HTTP/1.1 200 OK\r\nRequest-Id: ${request.headers["request-id"]}\r\nConnection: close\r\n\r\nhalf`,
            );
        });
        const answer = await sendRequest(caller, DISPATCH_REQUEST);
        expect(answer.statusCode).not.to.equal(200);
        expect(answer.headers["marigoldstall-outcome"]).to.equal("unknown");
    });

    it("never relays a duplicate response to the wrong request", async () => {
        const [backend] = await start((request, response, self) => {
            const body = String(request.url);
            request.resume();
            request.on("end", () => {
                const head = Object.entries({ ...self.headers(request), "Content-Length": String(body.length) })
                    .map(([name, value]) => `${name}: ${value}`).join("\r\n");
                const rawResponse = `HTTP/1.1 200 OK\r\n${head}\r\n\r\n${body}`;
                response.socket?.write(rawResponse);
                // The duplicate arrives together with the response, right after it or 5 ms later.
                const copies = Number(new URL(body, "http://x").searchParams.get("n")) % 3;
                if (copies === 0) {
                    response.socket?.write(rawResponse);
                }
                else {
                    setTimeout(() => response.socket?.write(rawResponse), copies === 1 ? 0 : 5);
                }
            });
        }) as [TestBackend];
        const agent = new Agent({ keepAlive: true });
        for (let index = 0; index < 60; index += 1) {
            const answer = await sendRequest(caller, { path: `${CHECK_PATH}?n=${index}`, agent });
            if (answer.statusCode === 200) {
                expect(answer.body).to.equal(`/status/1?n=${index}`);
            }
        }
        agent.destroy();
        expect(backend.receivedPaths.length).to.be.greaterThan(30);
    });

    it("closes a silent connection once another one works, and retries a repeatable request", async () => {
        let silenced = 0;
        const [backend] = await start((request, response, self) => {
            if (silenced === 0) {
                silenced += 1;
                request.resume();
                return;
            }
            self.answer(request, response);
        }) as [TestBackend];
        const answer = await sendRequest(caller, { path: CHECK_PATH });
        expect(answer).to.include({ statusCode: 200, complete: true });
        expect(backend.receivedPaths).to.have.length(2);
    }).timeout(40_000);

    it("closes the caller's connection when a long response stalls past the deadline", async () => {
        await start(stallResponse(LONG_BYTES));
        const answer = await sendRequest(caller, { path: CHECK_PATH, headers: { "Request-Timeout-Ms": "300" } });
        expect(answer.complete).to.equal(false);
    });

    for (const [title, call] of [["repeatable", { path: CHECK_PATH }], ["non-repeatable", DISPATCH_REQUEST]] as const) {
        it(`answers 504 at the deadline of a ${title} request whose short response stalls`, async () => {
            await start(stallResponse(SHORT_BYTES));
            const answer = await sendRequest(caller, { ...call, headers: { "Request-Timeout-Ms": "300" } });
            expect(answer).to.include({ statusCode: 504, complete: true });
            expect(answer.headers["marigoldstall-outcome"]).to.equal("unknown");
        });
    }

    it("does not treat a connection as silent while the caller is still sending the body", async () => {
        const [backend] = await start((request, response, self) => {
            self.answer(request, response);
        }) as [TestBackend];
        const body = new ReadableStream({
            async start(controller): Promise<void> {
                controller.enqueue(new Uint8Array(100_000));
                await new Promise(resolve => setTimeout(resolve, 2_500));
                controller.close();
            },
        });
        const answer = await fetch(
            `http://${caller}${CHECK_PATH}`,
            { method: "POST", body, duplex: "half" } as RequestInit,
        );
        expect(await answer.text()).to.equal("POST /status/1 100000");
        expect(backend.healthChecks).to.deep.equal([]);
        expect(backend.receivedPaths).to.have.length(1);
    });

    it("retries a shed request on another backend server, even if it is non-repeatable", async () => {
        let sheds = 0;
        const shedOnce: TestBackend["handler"] = (request, response, self) => {
            sheds += 1;
            if (sheds === 1) {
                self.shed(request, response);
            }
            else {
                self.answer(request, response);
            }
        };
        await start(shedOnce, shedOnce);
        const answer = await sendRequest(caller, { ...DISPATCH_REQUEST, body: "crew 4" });
        expect(answer).to.include({ statusCode: 200, body: "POST /dispatch/1 6" });
        expect(sheds).to.equal(2);
    });

    it("sends no more requests to a backend server that reports that it is draining", async () => {
        const backends = await start((request, response, self) => {
            self.shed(request, response, { Draining: "true" });
        }, (request, response, self) => {
            self.answer(request, response);
        });
        for (let index = 0; index < 20; index += 1) {
            const answer = await sendRequest(caller, { path: CHECK_PATH });
            expect(answer.statusCode).to.equal(200);
        }
        expect(backends[0]?.receivedPaths.length).to.be.lessThan(2);
    });

    it("streams a long request body and a long response completely", async () => {
        const bytes = 3_000_000;
        await start((request, response, self) => {
            let received = 0;
            request.on("data", (chunk: Buffer) => {
                received += chunk.length;
            });
            request.on("end", () => {
                response.writeHead(200, self.headers(request));
                response.end("y".repeat(received));
            });
        });
        const answer = await sendRequest(caller, { path: CHECK_PATH, method: "POST", body: Buffer.alloc(bytes, 120) });
        expect(answer).to.include({ statusCode: 200, complete: true });
        expect(answer.body.length).to.equal(bytes);
    });

    it("answers 504 and cancels the request when its deadline passes", async () => {
        const [backend] = await start(request => {
            request.resume();
        }) as [TestBackend];
        const answer = await sendRequest(caller, { ...DISPATCH_REQUEST, headers: { "Request-Timeout-Ms": "200" } });
        expect(answer.statusCode).to.equal(504);
        expect(answer.headers["marigoldstall-outcome"]).to.equal("unknown");
        expect(backend.cancelledRequestIds).to.have.length(1);
    });
});
