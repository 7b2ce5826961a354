import { type Clock, endToEndHeaders } from "@marigoldstall/daemon.connections";
import type { IncomingMessage } from "node:http";
import type { CallerRequest } from "./caller-request.js";
import { OWN_HEADERS } from "./own-headers.js";

// Larger responses are kept without their body.
const MAX_STORED_BYTES = 65_536;

interface RelayResponseOptions {
    readonly upstream: IncomingMessage;
    /** The whole body, where it was read before. */
    readonly held: readonly Buffer[] | undefined;
    readonly clock: Clock;
    /** The whole response was handed to the caller's connection; the answer itself is not ended yet. */
    readonly onWhole: () => void;
}

/** Relays a response to the caller. A caller that reads slowly slows the reading from the backend server. */
export const relayResponse = (request: CallerRequest, opts: RelayResponseOptions): void => {
    const { upstream, clock } = opts;
    const { response } = request;
    const statusCode = upstream.statusCode ?? 502;
    const notRun = upstream.headers["not-run"] === "true";
    const headers = endToEndHeaders(upstream.rawHeaders, {
        connection: upstream.headers.connection,
        excluded: OWN_HEADERS.response,
    });
    const keepsResponse = request.idempotencyKey !== undefined && !request.targets.repeatable;
    const storedHeaders: [string, string][] = [];
    if (keepsResponse) {
        for (let index = 0; index + 1 < headers.length; index += 2) {
            storedHeaders.push([headers[index] as string, headers[index + 1] as string]);
        }
    }
    headers.push("Request-Id", request.requestId, "Marigoldstall-Outcome", notRun ? "not-run" : "completed");
    if (!request.bodyComplete) {
        response.shouldKeepAlive = false;
    }
    if (!request.callerGone) {
        response.writeHead(statusCode, headers);
    }
    const store = (body: Buffer | undefined): void => {
        if (keepsResponse) {
            request.storedResponse = { statusCode, headers: storedHeaders, bodyBase64: body?.toString("base64") };
        }
    };
    if (opts.held !== undefined) {
        const body = opts.held.length === 1 ? opts.held[0] as Buffer : Buffer.concat(opts.held);
        if (!request.callerGone) {
            request.progressAtMs = clock.atMs();
            response.write(body);
        }
        store(body);
        opts.onWhole();
        return;
    }
    const storedChunks: Buffer[] = [];
    let bodyBytes = 0;
    upstream.on("data", (chunk: Buffer) => {
        bodyBytes += chunk.length;
        if (keepsResponse && bodyBytes <= MAX_STORED_BYTES) {
            storedChunks.push(chunk);
        }
        // When the caller has gone, the response is only read to its end, to be kept for repeats of the key.
        if (!request.callerGone) {
            request.progressAtMs = clock.atMs();
            if (!response.write(chunk)) {
                upstream.pause();
            }
        }
    });
    response.on("drain", () => {
        request.progressAtMs = clock.atMs();
        upstream.resume();
    });
    response.on("close", () => {
        upstream.resume();
    });
    upstream.on("end", () => {
        if (upstream.complete) {
            store(bodyBytes <= MAX_STORED_BYTES ? Buffer.concat(storedChunks) : undefined);
            opts.onWhole();
        }
    });
};
