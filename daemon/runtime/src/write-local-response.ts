import type { Outcome } from "@marigoldstall/core.types";
import type { ServerResponse } from "node:http";

/** Writes a response that the daemon generates itself. */
export const writeLocalResponse = (response: ServerResponse, opts: {
    readonly requestId: string;
    readonly outcome: Outcome;
    readonly statusCode: number;
    readonly reasonCode: string;
    readonly retryAfterMs?: number | undefined;
}): void => {
    const body = JSON.stringify({ outcome: opts.outcome, reason: opts.reasonCode, requestId: opts.requestId });
    const headers = [
        "Content-Type",
        "application/json",
        "Content-Length",
        String(Buffer.byteLength(body)),
        "Request-Id",
        opts.requestId,
        "Marigoldstall-Outcome",
        opts.outcome,
        "Marigoldstall-Reason",
        opts.reasonCode,
    ];
    if (opts.retryAfterMs !== undefined) {
        // HTTP requires whole seconds.
        headers.push("Retry-After", String(Math.max(1, Math.ceil(opts.retryAfterMs / 1_000))));
    }
    response.writeHead(opts.statusCode, headers);
    response.end(body);
};
