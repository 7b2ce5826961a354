import type { IncomingMessage } from "node:http";
import type { CallerLimit } from "./caller-limit.js";
import type { Rejection } from "./rejection.js";
import { selectBodyBytes } from "./select-body-bytes.js";
import { selectHeadError } from "./select-head-error.js";

const STATUS_BODY_TOO_LARGE = 413;
const STATUS_UNAVAILABLE = 503;
const RETRY_AFTER_MS = 500;

interface HeadRefusal extends Rejection {
    readonly limit?: CallerLimit;
}

interface SelectHeadRefusalOptions {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly maxRequests: number;
    /** Number of requests without a complete response, with this one. */
    readonly requestCount: number;
}

/** Returns how a request is rejected before its body is read, or undefined if it is accepted. */
export const selectHeadRefusal = (
    message: IncomingMessage,
    opts: SelectHeadRefusalOptions,
): HeadRefusal | undefined => {
    const statusCode = selectHeadError(message, opts);
    if (statusCode !== undefined) {
        return { statusCode };
    }
    if (opts.requestCount > opts.maxRequests) {
        return { statusCode: STATUS_UNAVAILABLE, retryAfterMs: RETRY_AFTER_MS, limit: "caller-requests-exhausted" };
    }
    const bodyBytes = selectBodyBytes(message);
    return Number.isFinite(bodyBytes) && bodyBytes > opts.maxBodyBytes
        ? { statusCode: STATUS_BODY_TOO_LARGE, limit: "caller-body-too-large" }
        : undefined;
};
