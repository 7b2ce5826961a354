import { MarigoldstallError } from "@marigoldstall/core.error";
import { BodyBudget, BodyCollector, collectBody } from "@marigoldstall/core.http-body";
import { JSONRPCErrorException, JSONRPCServer } from "json-rpc-2.0";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { listenOn } from "./listen-on.js";
import { matchesSignature } from "./matches-signature.js";
import { NonceCache } from "./nonce-cache.js";
import { RPC } from "./rpc-constants.js";
import type { RpcRefusal } from "./rpc-refusal.js";
import type { RpcServerOptions } from "./rpc-server-options.js";
import { signMessage } from "./sign-message.js";

// Allows thousands of calls per second; each peer sends a few.
const NONCE_CAPACITY = 500_000;
const BODY_TIMEOUT_MS = 10_000;
// Calls of at least 32 peers at once. A caller is identified only once its body is complete.
const MAX_BODIES_BYTES = 32 * RPC.maxBodyBytes;

const STATUS_CODES: Readonly<Record<RpcRefusal, number>> = {
    "oversized": 413,
    "unsigned": 401,
    "too-old": 401,
    "wrong-target": 401,
    "wrong-signature": 401,
    "replayed": 401,
    "malformed": 400,
};

/** Control port of a daemon. Serves authenticated JSON-RPC 2.0 over HTTP. */
export class RpcServer {
    private readonly opts: RpcServerOptions;
    private readonly rpc = new JSONRPCServer({ errorListener: () => undefined });
    private readonly nonces = new NonceCache({ windowMs: 2 * RPC.maxClockSkewMs + 1_000, capacity: NONCE_CAPACITY });
    private readonly now: () => number;
    private readonly monotonicNow: () => number;
    private readonly bodyBudget = new BodyBudget({ maxBytes: MAX_BODIES_BYTES });
    private readonly server: Server;
    private address = "";

    constructor(opts: RpcServerOptions) {
        this.opts = opts;
        this.now = opts.now ?? Date.now;
        this.monotonicNow = opts.monotonicNow ?? (() => performance.now());
        for (const [name, method] of Object.entries(opts.methods)) {
            this.rpc.addMethod(name, method);
        }
        this.rpc.mapErrorToJSONRPCErrorResponse = (id, error) => ({
            jsonrpc: "2.0",
            id,
            error: error instanceof MarigoldstallError
                ? { code: -32000, message: error.message, data: { code: error.code, step: error.step } }
                : error instanceof JSONRPCErrorException
                ? error.toObject()
                : { code: -32603, message: "internal error" },
        });
        this.server = createServer({ requestTimeout: BODY_TIMEOUT_MS, maxHeaderSize: 8_192 }, (request, response) => {
            this.readBody(request, response);
        });
        this.server.keepAliveTimeout = 60_000;
    }

    /** Listens on the address. Returns the bound address, with the assigned port if port 0 was requested. */
    async listen(address: string): Promise<string> {
        this.address = await listenOn(this.server, address);
        return this.address;
    }

    async close(): Promise<void> {
        await new Promise<void>(resolve => {
            this.server.close(() => {
                resolve();
            });
            this.server.closeAllConnections();
        });
    }

    private readBody(request: IncomingMessage, response: ServerResponse): void {
        if (Number(request.headers["content-length"] ?? 0) > RPC.maxBodyBytes) {
            this.refuse(response, "oversized");
            return;
        }
        const collector = new BodyCollector({
            maxBytes: RPC.maxBodyBytes,
            budget: this.bodyBudget,
            onExceeded: () => {
                this.refuse(response, "oversized");
            },
        });
        collectBody(request, collector);
        response.on("close", () => {
            collector.release();
        });
        request.on("error", () => undefined);
        request.on("end", () => {
            if (!response.writableEnded) {
                this.handleCall(request, response, collector.complete());
            }
        });
    }

    private handleCall(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
        const timestamp = request.headers[RPC.timestampHeader];
        const nonce = request.headers[RPC.nonceHeader];
        const target = request.headers[RPC.targetHeader];
        if (
            typeof timestamp !== "string" || typeof nonce !== "string" || typeof target !== "string"
            || nonce.length < 16 || nonce.length > 64
        ) {
            this.refuse(response, "unsigned");
            return;
        }
        const signedFields = { key: this.opts.key, timestampMs: timestamp, nonce, target };
        if (
            !matchesSignature(
                request.headers[RPC.signatureHeader],
                signMessage(body, { ...signedFields, direction: "request" }),
            )
        ) {
            this.refuse(response, "wrong-signature");
            return;
        }
        const clockSkewMs = Math.abs(this.now() - Number(timestamp));
        if (!(clockSkewMs <= RPC.maxClockSkewMs)) {
            this.refuse(response, "too-old");
            return;
        }
        if (target !== this.address) {
            this.refuse(response, "wrong-target");
            return;
        }
        if (!this.nonces.add(nonce, this.monotonicNow())) {
            this.refuse(response, "replayed");
            return;
        }
        let call: unknown;
        try {
            call = JSON.parse(body.toString("utf8"));
        }
        catch {
            this.refuse(response, "malformed");
            return;
        }
        this.rpc.receive(call as Parameters<JSONRPCServer["receive"]>[0]).then(result => {
            const responseBody = Buffer.from(JSON.stringify(result ?? {}));
            response.writeHead(200, {
                "Content-Type": "application/json",
                "Content-Length": responseBody.length,
                [RPC.signatureHeader]: signMessage(responseBody, { ...signedFields, direction: "answer" }).toString(
                    "hex",
                ),
            });
            response.end(responseBody);
        }, () => {
            response.destroy();
        });
    }

    private refuse(response: ServerResponse, refusal: RpcRefusal): void {
        this.opts.onRefused?.(refusal, response.socket?.remoteAddress);
        response.writeHead(STATUS_CODES[refusal], { "Connection": "close", "Content-Type": "text/plain" });
        response.end(`ERR_MARIGOLDSTALL_RPC_REFUSED ${refusal}\n`);
    }
}
