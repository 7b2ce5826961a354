import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerConnection } from "./caller-connection.js";
import type { CallerReply } from "./caller-reply.js";
import type { OpenRequest } from "./open-request.js";
import type { PooledBody } from "./pooled-body.js";

/** An accepted request of a caller, until its response has been written. */
export interface CallerExchange {
    readonly requestKey: string;
    readonly connection: CallerConnection;
    readonly message: IncomingMessage;
    readonly response: ServerResponse;
    readonly receivedAtMs: number;
    readonly collector: PooledBody;
    /** Set once the request has been read completely. */
    readonly request: OpenRequest | undefined;
    /** Set once the response is ready. */
    readonly reply: CallerReply | undefined;
}
