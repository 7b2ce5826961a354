import type { Rejection } from "./rejection.js";

const createRejection = (statusCode: number, code: string, retryAfterMs?: number): Rejection => ({
    statusCode,
    reasonCode: `ERR_MARIGOLDSTALL_${code}`,
    ...retryAfterMs === undefined ? {} : { retryAfterMs },
});

/** Rejections by the caller listener. A rejected request did not run. */
export const REJECTIONS = {
    malformedRequest: createRejection(400, "MALFORMED_REQUEST"),
    expectation: createRejection(417, "EXPECTATION_NOT_SUPPORTED"),
    httpVersion: createRejection(505, "HTTP_VERSION_NOT_SUPPORTED"),
    headersTooLarge: createRejection(431, "HEADERS_TOO_LARGE"),
    unknownService: createRejection(404, "UNKNOWN_SERVICE"),
    unknownClass: createRejection(404, "UNKNOWN_CLASS"),
    reservedPath: createRejection(404, "RESERVED_PATH"),
    invalidKey: createRejection(400, "INVALID_IDEMPOTENCY_KEY"),
    invalidTimeout: createRejection(400, "INVALID_TIMEOUT"),
    invalidAttempt: createRejection(400, "INVALID_ATTEMPT"),
    bodyTimeout: createRejection(408, "BODY_TIMEOUT"),
    tooManyConnections: createRejection(429, "TOO_MANY_CONNECTIONS", 1_000),
    tooManyRequests: createRejection(503, "TOO_MANY_REQUESTS_IN_FLIGHT", 1_000),
    noConfiguration: createRejection(503, "NO_CONFIGURATION", 1_000),
} as const;
