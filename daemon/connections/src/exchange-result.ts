import type { IncomingHttpHeaders } from "node:http";

/** Response of a backend server to a request of the daemon itself. */
export interface ExchangeResult {
    readonly statusCode: number;
    readonly instanceId: string | undefined;
    readonly headers: IncomingHttpHeaders;
    /**
     * Parses the body as JSON; undefined if it is none. Health checks need no body, and the error for each empty one took
     * a tenth of a hub's processor time.
     */
    readonly parseBody: () => unknown;
}
