import { type Clock, endToEndHeaders, withoutForbiddenLength } from "@marigoldstall/daemon.connections";
import type { IncomingMessage } from "node:http";
import type { CallerRequest } from "./caller-request.js";
import { MANAGED_HEADERS } from "./managed-headers.js";

// Responses with a larger body are stored without it.
const MAX_STORED_BODY_BYTES = 65_536;

interface RelayResponseOptions {
    readonly serverResponse: IncomingMessage;
    /** Complete body, if the response was buffered. */
    readonly bufferedChunks: readonly Buffer[] | undefined;
    readonly clock: Clock;
    /** Called when the complete response was written to the caller. The response stream is not ended yet. */
    readonly onComplete: () => void;
}

/** Relays a response to the caller. Backpressure from the caller pauses reading from the backend server. */
export const relayResponse = (request: CallerRequest, opts: RelayResponseOptions): void => {
    const { serverResponse, clock } = opts;
    const { response } = request;
    const statusCode = serverResponse.statusCode ?? 502;
    const notRun = serverResponse.headers["not-run"] === "true";
    const headers = endToEndHeaders(withoutForbiddenLength(serverResponse), {
        connection: serverResponse.headers.connection,
        excluded: MANAGED_HEADERS.response,
    });
    const shouldStore = request.idempotencyKey !== undefined && !request.targets.repeatable;
    const storedHeaders: [string, string][] = [];
    if (shouldStore) {
        for (let index = 0; index + 1 < headers.length; index += 2) {
            storedHeaders.push([headers[index] as string, headers[index + 1] as string]);
        }
    }
    headers.push("Request-Id", request.requestId, "Marigoldstall-Outcome", notRun ? "not-run" : "completed");
    if (!request.bodyComplete) {
        response.shouldKeepAlive = false;
    }
    if (!request.callerDisconnected) {
        response.writeHead(statusCode, headers);
    }
    const storeResponse = (body: Buffer | undefined): void => {
        if (shouldStore) {
            request.storedResponse = { statusCode, headers: storedHeaders, bodyBase64: body?.toString("base64") };
        }
    };
    if (opts.bufferedChunks !== undefined) {
        const body = opts.bufferedChunks.length === 1
            ? opts.bufferedChunks[0] as Buffer
            : Buffer.concat(opts.bufferedChunks);
        if (!request.callerDisconnected) {
            request.lastProgressAtMs = clock.atMs();
            response.write(body);
        }
        storeResponse(body);
        opts.onComplete();
        return;
    }
    const storedChunks: Buffer[] = [];
    let bodyBytes = 0;
    serverResponse.on("data", (chunk: Buffer) => {
        bodyBytes += chunk.length;
        if (shouldStore && bodyBytes <= MAX_STORED_BODY_BYTES) {
            storedChunks.push(chunk);
        }
        // After the caller disconnected, the response is still read, so that it can be stored for repeats of the key.
        if (!request.callerDisconnected) {
            request.lastProgressAtMs = clock.atMs();
            if (!response.write(chunk)) {
                serverResponse.pause();
            }
        }
    });
    response.on("drain", () => {
        request.lastProgressAtMs = clock.atMs();
        serverResponse.resume();
    });
    response.on("close", () => {
        serverResponse.resume();
    });
    serverResponse.on("end", () => {
        if (serverResponse.complete) {
            storeResponse(bodyBytes <= MAX_STORED_BODY_BYTES ? Buffer.concat(storedChunks) : undefined);
            opts.onComplete();
        }
    });
};
