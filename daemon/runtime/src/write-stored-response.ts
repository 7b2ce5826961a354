import type { StoredResponse } from "@marigoldstall/requests.ledger";
import type { ServerResponse } from "node:http";

const BODY_HEADERS = new Set(["content-length", "content-type", "content-encoding", "transfer-encoding"]);

/** Answers a repeat of an idempotency key with the stored response to the first request. */
export const writeStoredResponse = (response: ServerResponse, opts: {
    readonly requestId: string;
    readonly stored: StoredResponse;
    readonly reasonCode: string | undefined;
}): void => {
    const { stored } = opts;
    const storedBody = stored.bodyBase64 === undefined ? undefined : Buffer.from(stored.bodyBase64, "base64");
    // A body above 64 KiB is not stored. The reason says so, as the response would otherwise look empty.
    const reasonCode = storedBody === undefined ? "ERR_MARIGOLDSTALL_RESPONSE_NOT_KEPT" : opts.reasonCode;
    const body = storedBody
        ?? Buffer.from(JSON.stringify({ outcome: "completed", reason: reasonCode, requestId: opts.requestId }));
    const headers: string[] = [];
    for (const [name, value] of stored.headers) {
        const lowerCase = name.toLowerCase();
        if (lowerCase === "content-length" || (storedBody === undefined && BODY_HEADERS.has(lowerCase))) {
            continue;
        }
        headers.push(name, value);
    }
    if (storedBody === undefined) {
        headers.push("Content-Type", "application/json");
    }
    if (stored.statusCode !== 204 && stored.statusCode !== 304) {
        headers.push("Content-Length", String(body.length));
    }
    headers.push("Request-Id", opts.requestId, "Marigoldstall-Outcome", "completed");
    if (reasonCode !== undefined) {
        headers.push("Marigoldstall-Reason", reasonCode);
    }
    response.writeHead(stored.statusCode, headers);
    response.end(body);
};
