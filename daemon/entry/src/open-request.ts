import type { IncomingMessage } from "node:http";
import type { BodyBytes } from "./body-bytes.js";

/** A caller's request that has not been answered yet. */
export interface OpenRequest {
    readonly requestKey: string;
    readonly requestId: string;
    readonly message: IncomingMessage;
    /** Complete body, or undefined if the request has none. */
    readonly body: BodyBytes | undefined;
    /** Keeps the bytes of the body from being used again, until the returned function is called. */
    readonly retainBody?: () => () => void;
    /** Whether later requests of the same connection have been passed on. */
    readonly hasFollowers: () => boolean;
}
