import type { IncomingHttpHeaders } from "node:http";

/** Response of a backend server to a request of the daemon itself. */
export interface ExchangeResult {
    readonly statusCode: number;
    readonly instanceId: string | undefined;
    readonly headers: IncomingHttpHeaders;
    /**
     * Parses the body as JSON; undefined if it is none. Most callers need no body, and an error for each health check
     * without one costs more than the check itself.
     */
    readonly parseBody: () => unknown;
}
