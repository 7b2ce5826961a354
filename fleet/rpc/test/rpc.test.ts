import { RPC, RpcClient, type RpcRefusal, RpcServer, signMessage } from "@marigoldstall/fleet.rpc";
import { expect } from "chai";
import { createServer, request as httpRequest } from "node:http";
import type { AddressInfo } from "node:net";

const KEY = "a control key of at least 32 characters";
const WALL_MS = 1_800_000_000_000;

interface RawCall {
    readonly timestampMs?: number;
    readonly nonce?: string;
    readonly key?: string;
    readonly target?: string;
    readonly body?: string;
    readonly sentBody?: string;
    readonly unsigned?: boolean;
}

const sendRaw = (address: string, call: RawCall): Promise<number> =>
    new Promise((resolve, reject) => {
        const body = call.body ?? JSON.stringify({ jsonrpc: "2.0", id: 1, method: "echo", params: {} });
        const timestampMs = String(call.timestampMs ?? WALL_MS);
        const nonce = call.nonce ?? "0123456789abcdef";
        const target = call.target ?? address;
        const signature = signMessage(Buffer.from(body), {
            key: call.key ?? KEY,
            direction: "request",
            timestampMs,
            nonce,
            target,
        });
        const [host, port] = address.split(":");
        const request = httpRequest({
            host,
            port: Number(port),
            method: "POST",
            headers: call.unsigned === true ? {} : {
                [RPC.timestampHeader]: timestampMs,
                [RPC.nonceHeader]: nonce,
                [RPC.targetHeader]: target,
                [RPC.signatureHeader]: signature.toString("hex"),
            },
        }, response => {
            response.resume();
            resolve(response.statusCode ?? 0);
        });
        request.on("error", reject);
        request.end(call.sentBody ?? body);
    });

describe("fleet.rpc", () => {
    const refusals: RpcRefusal[] = [];
    const peers: (string | undefined)[] = [];
    let runs = 0;
    let server: RpcServer;
    let address: string;

    beforeEach(async () => {
        refusals.length = 0;
        peers.length = 0;
        runs = 0;
        server = new RpcServer({
            key: KEY,
            now: () => WALL_MS,
            onRefused: (refusal, peer) => {
                refusals.push(refusal);
                peers.push(peer);
            },
            methods: {
                "echo": params => {
                    runs += 1;
                    return params;
                },
                "fail": () => {
                    throw new Error("secret detail");
                },
                "hang": () => new Promise(() => undefined),
            },
        });
        address = await server.listen("127.0.0.1:0");
    });

    afterEach(() => server.close());

    describe("RpcServer", () => {
        const cases: readonly (readonly [string, RawCall, RpcRefusal, number])[] = [
            ["a call without signature", { unsigned: true }, "unsigned", 401],
            ["a call signed with another key", { key: "x".repeat(32) }, "wrong-signature", 401],
            ["a call whose body was changed in transit", { sentBody: "{}" }, "wrong-signature", 401],
            ["a call that is too old", { timestampMs: WALL_MS - 30_001 }, "too-old", 401],
            ["a call with a timestamp too far in the future", { timestampMs: WALL_MS + 30_001 }, "too-old", 401],
            ["a call that was signed for another daemon", { target: "127.0.0.1:1" }, "wrong-target", 401],
            ["a signed call that is not JSON", { body: "{" }, "malformed", 400],
            ["a call larger than the limit", { body: "x".repeat(RPC.maxBodyBytes + 1) }, "oversized", 413],
        ];
        for (const [name, call, refusal, statusCode] of cases) {
            it(`refuses ${name}, reports the reason and runs no method`, async () => {
                expect(await sendRaw(address, call)).to.equal(statusCode);
                expect(refusals).to.deep.equal([refusal]);
                expect(peers).to.deep.equal(["127.0.0.1"]);
                expect(runs).to.equal(0);
            });
        }

        it("runs a replayed call only once", async () => {
            expect(await sendRaw(address, {})).to.equal(200);
            expect(await sendRaw(address, {})).to.equal(401);
            expect(refusals).to.deep.equal(["replayed"]);
            expect(runs).to.equal(1);
        });
    });

    describe("RpcClient", () => {
        const client = new RpcClient({ key: KEY, now: () => WALL_MS });
        after(() => {
            client.close();
        });

        it("returns the result of the method", async () => {
            const result = await client.call(address, { method: "echo", params: { text: "grüezi" } });
            expect(result._unsafeUnwrap()).to.deep.equal({ text: "grüezi" });
        });

        const errors: readonly (readonly [string, string, string])[] = [
            ["a method that throws, without the details of its error", "fail", "ERR_MARIGOLDSTALL_RPC_FAILED"],
            ["an unknown method", "absent", "ERR_MARIGOLDSTALL_RPC_FAILED"],
            ["a peer that does not respond", "hang", "ERR_MARIGOLDSTALL_RPC_TIMEOUT"],
        ];
        for (const [name, method, code] of errors) {
            it(`reports ${name}, with step and peer`, async () => {
                const result = await client.call(address, { method, params: {}, timeoutMs: 200 });
                const error = result._unsafeUnwrapErr();
                expect(error).to.include({ code, step: method, peer: address });
                expect(error.message).not.to.contain("secret");
            });
        }

        it("reports a peer that refuses the connection", async () => {
            const result = await client.call("127.0.0.1:1", { method: "echo", params: {} });
            expect(result._unsafeUnwrapErr().code).to.equal("ERR_MARIGOLDSTALL_RPC_UNREACHABLE");
        });

        it("rejects a response that is not signed with the key", async () => {
            const unsignedServer = createServer((request, response) => {
                request.resume();
                response.end(JSON.stringify({ jsonrpc: "2.0", id: 1, result: {} }));
            });
            await new Promise<void>(resolve => unsignedServer.listen(0, "127.0.0.1", resolve));
            try {
                const peer = `127.0.0.1:${(unsignedServer.address() as AddressInfo).port}`;
                const result = await client.call(peer, { method: "echo", params: {} });
                expect(result._unsafeUnwrapErr().code).to.equal("ERR_MARIGOLDSTALL_RPC_FORGED_ANSWER");
            }
            finally {
                unsignedServer.closeAllConnections();
                unsignedServer.close();
            }
        });

        describe("with a peer whose response is broken", () => {
            const SIGNED_HEAD = `${RPC.signatureHeader}: SIGNATURE\r\n`;
            const cases: readonly (readonly [string, string, boolean, string])[] = [
                [
                    "no length, whose connection is reset after a part",
                    `HTTP/1.1 200 OK\r\n${SIGNED_HEAD}\r\n`,
                    true,
                    "FORGED_ANSWER",
                ],
                [
                    "a length, whose connection is reset after a part",
                    `HTTP/1.1 200 OK\r\n${SIGNED_HEAD}Content-Length: LENGTH\r\n\r\n`,
                    true,
                    "UNREACHABLE",
                ],
                ["status 000", `HTTP/1.1 000 OK\r\n${SIGNED_HEAD}Content-Length: LENGTH\r\n\r\n`, false, "REFUSED"],
                ...["X Cache", "X-Cache ", "X\u0001Cache"].map(name =>
                    [
                        `a header named ${JSON.stringify(name)}`,
                        `HTTP/1.1 200 OK\r\n${SIGNED_HEAD}${name}: miss\r\nContent-Length: LENGTH\r\n\r\n`,
                        false,
                        "UNREACHABLE",
                    ] as const
                ),
            ];
            for (const [name, head, isCut, code] of cases) {
                it(`fails after a response with ${name}`, async () => {
                    const brokenPeer = createServer(({ socket, headers }) => {
                        // The id is the one of the first call of a client.
                        const body = Buffer.from(JSON.stringify({ jsonrpc: "2.0", id: 1, result: {} }));
                        const signature = signMessage(body, {
                            key: KEY,
                            direction: "answer",
                            timestampMs: String(headers[RPC.timestampHeader]),
                            nonce: String(headers[RPC.nonceHeader]),
                            target: String(headers[RPC.targetHeader]),
                        });
                        const text = head.replace("SIGNATURE", signature.toString("hex"))
                            .replace("LENGTH", String(body.length));
                        socket.write(`${text}${body.subarray(0, isCut ? 10 : body.length).toString()}`, () => {
                            if (isCut) {
                                socket.resetAndDestroy();
                            }
                        });
                    });
                    await new Promise<void>(resolve => brokenPeer.listen(0, "127.0.0.1", resolve));
                    const firstClient = new RpcClient({ key: KEY, now: () => WALL_MS });
                    try {
                        const peer = `127.0.0.1:${(brokenPeer.address() as AddressInfo).port}`;
                        const result = await firstClient.call(peer, { method: "echo", params: {} });
                        expect(result._unsafeUnwrapErr().code).to.equal(`ERR_MARIGOLDSTALL_RPC_${code}`);
                    }
                    finally {
                        firstClient.close();
                        brokenPeer.closeAllConnections();
                        brokenPeer.close();
                    }
                });
            }
        });
    });
});
