import { endToEndHeaders } from "@marigoldstall/daemon.connections";
import type { CallerRequest } from "./caller-request.js";
import { MANAGED_HEADERS } from "./managed-headers.js";

/** Creates the headers of an attempt: those of the caller's request and those that the daemon sets. */
export const createAttemptHeaders = (request: CallerRequest, opts: {
    readonly attemptNumber: number;
    readonly remainingMs: number;
}): string[] => {
    const { message, requestId, bodyComplete, bodyBytes, contentLength } = request;
    const headers = endToEndHeaders(message.rawHeaders, {
        connection: message.headers.connection,
        excluded: MANAGED_HEADERS.request,
    });
    headers.push(
        "Host",
        message.headers.host ?? "",
        "Request-Id",
        requestId,
        "Request-Timeout-Ms",
        String(opts.remainingMs),
        "Marigoldstall-Attempt",
        String(opts.attemptNumber),
    );
    if (bodyComplete) {
        if (bodyBytes > 0 || contentLength !== undefined) {
            headers.push("Content-Length", String(bodyBytes));
        }
    }
    else if (contentLength !== undefined) {
        headers.push("Content-Length", String(contentLength));
    }
    else {
        headers.push("Transfer-Encoding", "chunked");
    }
    return headers;
};
