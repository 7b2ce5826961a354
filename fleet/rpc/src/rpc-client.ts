import { MarigoldstallError } from "@marigoldstall/core.error";
import { BodyCollector, collectBody } from "@marigoldstall/core.http-body";
import { createJSONRPCRequest, isJSONRPCResponse } from "json-rpc-2.0";
import { err, ok, type Result } from "neverthrow";
import { randomBytes } from "node:crypto";
import { Agent, type IncomingMessage, request as httpRequest } from "node:http";
import { matchesSignature } from "./matches-signature.js";
import type { RpcCallOptions } from "./rpc-call-options.js";
import type { RpcClientOptions } from "./rpc-client-options.js";
import { RPC } from "./rpc-constants.js";
import { signMessage } from "./sign-message.js";

const DEFAULT_TIMEOUT_MS = 2_000;

/** Calls methods on the control ports of daemons over keep-alive connections. */
export class RpcClient {
    private readonly opts: RpcClientOptions;
    private readonly agent: Agent;
    private nextId = 1;

    constructor(opts: RpcClientOptions) {
        this.opts = opts;
        this.agent = new Agent({ keepAlive: true, maxSockets: opts.maxConnectionsPerPeer ?? 8, maxFreeSockets: 2 });
    }

    /** Returns the result of the method, or an error with the method as its step and the address as its peer. */
    call(address: string, opts: RpcCallOptions): Promise<Result<unknown, MarigoldstallError>> {
        return new Promise(resolve => {
            const fail = (code: string, message: string, hint?: string, cause?: unknown): void => {
                resolve(err(new MarigoldstallError({ code, message, step: opts.method, peer: address, hint, cause })));
            };
            const id = this.nextId++;
            const body = Buffer.from(JSON.stringify(createJSONRPCRequest(id, opts.method, opts.params)));
            if (body.length > RPC.maxBodyBytes) {
                fail("RPC_OVERSIZED", `the request has ${body.length} bytes, the limit is ${RPC.maxBodyBytes} bytes`);
                return;
            }
            const signedFields = {
                key: this.opts.key,
                timestampMs: String((this.opts.now ?? Date.now)()),
                nonce: randomBytes(16).toString("hex"),
                target: address,
            };
            const colon = address.lastIndexOf(":");
            const request = httpRequest({
                agent: this.agent,
                host: address.slice(0, colon).replace(/^\[|\]$/g, ""),
                port: Number(address.slice(colon + 1)),
                method: "POST",
                path: "/rpc",
                headers: {
                    "Content-Type": "application/json",
                    "Content-Length": body.length,
                    [RPC.timestampHeader]: signedFields.timestampMs,
                    [RPC.nonceHeader]: signedFields.nonce,
                    [RPC.targetHeader]: address,
                    [RPC.signatureHeader]: signMessage(body, { ...signedFields, direction: "request" }).toString("hex"),
                },
            });
            const timeoutMs = opts.timeoutMs ?? DEFAULT_TIMEOUT_MS;
            const timer = setTimeout(() => {
                fail(
                    "RPC_TIMEOUT",
                    `no response within ${timeoutMs} ms`,
                    "check that the daemon runs and is reachable",
                );
                request.destroy();
            }, timeoutMs);
            request.on("close", () => {
                clearTimeout(timer);
            });
            request.on("error", error => {
                fail("RPC_UNREACHABLE", error.message, "check that the daemon runs and is reachable", error);
            });
            request.on("response", response => {
                this.readResponse(response, { id, signedFields, resolve, fail });
            });
            request.end(body);
        });
    }

    close(): void {
        this.agent.destroy();
    }

    private readResponse(response: IncomingMessage, call: {
        readonly id: number;
        readonly signedFields: { key: string; timestampMs: string; nonce: string; target: string; };
        readonly resolve: (result: Result<unknown, MarigoldstallError>) => void;
        readonly fail: (code: string, message: string, hint?: string) => void;
    }): void {
        const collector = new BodyCollector({
            maxBytes: RPC.maxBodyBytes,
            onExceeded: () => {
                call.fail("RPC_OVERSIZED", `the response exceeds the limit of ${RPC.maxBodyBytes} bytes`);
                response.destroy();
            },
        });
        collectBody(response, collector);
        response.on("error", error => {
            call.fail("RPC_UNREACHABLE", error.message);
        });
        response.on("end", () => {
            const body = collector.complete();
            if (response.statusCode !== 200) {
                call.fail(
                    "RPC_REFUSED",
                    `the daemon refused the call with status ${response.statusCode}`,
                    "check security.controlKey, the address in the VM list and the clocks of both sides",
                );
                return;
            }
            const expected = signMessage(body, { ...call.signedFields, direction: "answer" });
            if (!matchesSignature(response.headers[RPC.signatureHeader], expected)) {
                call.fail("RPC_FORGED_ANSWER", "the response is not signed with the control key");
                return;
            }
            let rpcResponse: unknown;
            try {
                rpcResponse = JSON.parse(body.toString("utf8"));
            }
            catch {
                rpcResponse = undefined;
            }
            if (!isJSONRPCResponse(rpcResponse) || rpcResponse.id !== call.id) {
                call.fail("RPC_MALFORMED_ANSWER", "the response is not a JSON-RPC response to this call");
                return;
            }
            if (rpcResponse.error !== undefined) {
                call.fail("RPC_FAILED", rpcResponse.error.message);
                return;
            }
            call.resolve(ok(rpcResponse.result as unknown));
        });
    }
}
