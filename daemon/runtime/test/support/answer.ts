import type { IncomingHttpHeaders } from "node:http";

/** Response as a caller received it. */
export interface Answer {
    /** Undefined if the connection ended without a response. */
    readonly statusCode: number | undefined;
    readonly headers: IncomingHttpHeaders;
    readonly body: string;
    /** Whether the response arrived completely. */
    readonly complete: boolean;
}
