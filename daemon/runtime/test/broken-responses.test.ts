import { expect } from "chai";
import { sendRequest } from "./support/send-request.js";
import { TestBackend } from "./support/test-backend.js";
import { TestSite } from "./support/test-site.js";

const DISPATCH_REQUEST = { path: "/statusdesk/dispatch/1", method: "POST" };
// More than the buffers of a connection take, so that it is still being written when the response ends.
const LONG_UPLOAD = Buffer.alloc(16 * 1_024 * 1_024);

describe("daemon.runtime with broken responses of backend servers", () => {
    let site: TestSite;
    let caller = "";

    const start = async (handler: TestBackend["handler"]): Promise<readonly TestBackend[]> => {
        site = await TestSite.start({ backends: [new TestBackend(handler)] });
        caller = (await site.startReadyDaemon()).addresses.caller;
        return site.backends;
    };

    afterEach(() => site.stop());

    // Node.js reads all but the last one until the connection ends. The caller received a response with another transfer
    // coding as complete when its connection was reset.
    for (
        const framing of [
            "",
            "Transfer-Encoding: gzip\r\n",
            "Transfer-Encoding: identity\r\n",
            "Transfer-Encoding: chunked, gzip\r\n",
            "Transfer-Encoding: x\r\n",
            "Transfer-Encoding: xchunked\r\n",
        ]
    ) {
        for (const ending of ["end", "resetAndDestroy"] as const) {
            for (const [requestName, body] of [["a short request", ""], ["a long upload", LONG_UPLOAD]] as const) {
                it(
                    `does not relay a response to ${requestName} with ${
                        JSON.stringify(framing)
                    } that only ${ending} of the connection delimits`,
                    async () => {
                        await start(request => {
                            const { socket } = request;
                            socket.pause();
                            const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${
                                request.headers["request-id"]
                            }\r\n${framing}`;
                            socket.write(`${head}Connection: close\r\n\r\nhalf`, () => {
                                socket[ending]();
                            });
                        });
                        const answer = await sendRequest(caller, { ...DISPATCH_REQUEST, body });
                        expect(answer.statusCode).not.to.equal(200);
                        expect(answer.headers["marigoldstall-outcome"]).to.equal("unknown");
                    },
                );
            }
        }
    }

    for (const name of ["X Cache", "X-Cache ", " X-Cache", "X\0Cache", "X\u0001Cache", "X\u007fCache"]) {
        for (const framing of ["Content-Length: 4", "Transfer-Encoding: chunked"]) {
            it(`does not relay a response with ${framing} and a header named ${JSON.stringify(name)}`, async () => {
                const [backend] = await start((request, response, self) => {
                    const head = Object.entries(self.headers(request)).map(([key, value]) => `${key}: ${value}`);
                    request.socket.write(
                        `HTTP/1.1 200 OK\r\n${
                            head.join("\r\n")
                        }\r\n${name}: miss\r\n${framing}\r\n\r\n4\r\nhalf\r\n0\r\n\r\n`,
                    );
                }) as [TestBackend];
                const answer = await sendRequest(caller, DISPATCH_REQUEST);
                expect(answer).to.include({ statusCode: 502, complete: true });
                expect(answer.headers["marigoldstall-outcome"]).to.equal("unknown");
                expect(answer.body).not.to.include("half");
                expect(backend.receivedPaths).to.have.length(1);
            });
        }
    }
});
