import type { IncomingHttpHeaders } from "node:http";

/** Response of a backend server to a request of the daemon itself. */
export interface ExchangeResult {
    readonly statusCode: number;
    readonly instanceId: string | undefined;
    readonly headers: IncomingHttpHeaders;
    readonly body: unknown;
}
