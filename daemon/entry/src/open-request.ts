import type { IncomingMessage, ServerResponse } from "node:http";

/** A caller's request whose answer was not written yet. */
export interface OpenRequest {
    readonly requestKey: string;
    readonly requestId: string;
    readonly message: IncomingMessage;
    readonly response: ServerResponse;
    /** Whole body; absent when the request has none. */
    readonly body: Buffer | undefined;
}
