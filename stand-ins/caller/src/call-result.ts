import type { IncomingHttpHeaders } from "node:http";

/** Response of an entry VM, or the error code when there was none. */
export interface CallResult {
    readonly entry: string;
    readonly status: number | undefined;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
    readonly errorCode: string | undefined;
    readonly connectionReused: boolean;
}
