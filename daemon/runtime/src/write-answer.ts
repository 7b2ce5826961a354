import type { Outcome } from "@marigoldstall/core.types";
import type { ServerResponse } from "node:http";

/** Answers a caller without the response of a backend server. */
export const writeAnswer = (response: ServerResponse, opts: {
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
        // Whole seconds, as HTTP has it.
        headers.push("Retry-After", String(Math.max(1, Math.ceil(opts.retryAfterMs / 1_000))));
    }
    response.writeHead(opts.statusCode, headers);
    response.end(body);
};
