import type { IncomingHttpHeaders } from "node:http";

/** What a caller got. */
export interface Answer {
    /** Undefined when the connection ended without an answer. */
    readonly statusCode: number | undefined;
    readonly headers: IncomingHttpHeaders;
    readonly body: string;
    /** Whether the answer arrived whole. */
    readonly whole: boolean;
}
