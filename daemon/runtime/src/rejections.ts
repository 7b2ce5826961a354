import type { Rejection } from "./rejection.js";

const reject = (statusCode: number, code: string, retryAfterMs?: number): Rejection => ({
    statusCode,
    reasonCode: `ERR_MARIGOLDSTALL_${code}`,
    ...retryAfterMs === undefined ? {} : { retryAfterMs },
});

/** Rejections of the caller port itself. All of them mean that the request did not run. */
export const REJECTIONS = {
    malformedRequest: reject(400, "MALFORMED_REQUEST"),
    expectation: reject(417, "EXPECTATION_NOT_SUPPORTED"),
    httpVersion: reject(505, "HTTP_VERSION_NOT_SUPPORTED"),
    headersTooLarge: reject(431, "HEADERS_TOO_LARGE"),
    unknownService: reject(404, "UNKNOWN_SERVICE"),
    unknownClass: reject(404, "UNKNOWN_CLASS"),
    reservedPath: reject(404, "RESERVED_PATH"),
    invalidKey: reject(400, "INVALID_IDEMPOTENCY_KEY"),
    invalidTimeout: reject(400, "INVALID_TIMEOUT"),
    invalidAttempt: reject(400, "INVALID_ATTEMPT"),
    bodyTimeout: reject(408, "BODY_TIMEOUT"),
    tooManyConnections: reject(429, "TOO_MANY_CONNECTIONS", 1_000),
    tooManyRequests: reject(503, "TOO_MANY_REQUESTS_IN_FLIGHT", 1_000),
    noConfiguration: reject(503, "NO_CONFIGURATION", 1_000),
} as const;
