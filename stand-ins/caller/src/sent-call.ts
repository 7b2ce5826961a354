import type { IncomingHttpHeaders } from "node:http";

/** Answer of an entry, or the error that took its place. */
export interface SentCall {
    readonly entry: string;
    readonly status: number | undefined;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
    readonly errorCode: string | undefined;
    readonly connectionReused: boolean;
}
