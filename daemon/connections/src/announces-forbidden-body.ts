import type { IncomingMessage } from "node:http";

const STATUS_NO_CONTENT = 204;

/**
 * Whether a 204 states a length or chunks. It ends with its head regardless (RFC 9112, section 6.3), but Node.js waits
 * for the body and reads it. Its connection cannot be used again, as bytes of the body may follow.
 */
export const announcesForbiddenBody = ({ statusCode, headers }: IncomingMessage): boolean =>
    statusCode === STATUS_NO_CONTENT
    && (headers["transfer-encoding"] !== undefined || (headers["content-length"] ?? "0") !== "0");
