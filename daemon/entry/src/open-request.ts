import type { IncomingMessage, ServerResponse } from "node:http";

/** A caller's request that has not been answered yet. */
export interface OpenRequest {
    readonly requestKey: string;
    readonly requestId: string;
    readonly message: IncomingMessage;
    readonly response: ServerResponse;
    /** Complete body, or undefined if the request has none. */
    readonly body: Buffer | undefined;
    /** Whether later requests of the same connection are in progress. */
    readonly hasFollowers: () => boolean;
}
