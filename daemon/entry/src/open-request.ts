import type { IncomingMessage } from "node:http";

/** A caller's request that has not been answered yet. */
export interface OpenRequest {
    readonly requestKey: string;
    readonly requestId: string;
    readonly message: IncomingMessage;
    /** Complete body, or undefined if the request has none. */
    readonly body: Buffer | undefined;
    /** Whether later requests of the same connection have been passed on. */
    readonly hasFollowers: () => boolean;
}
