import { decodeCallerRequestHead, encodeRejectionHeaders } from "@marigoldstall/platform.adapter";
import type { IncomingMessage } from "node:http";
import type { CallerReply } from "./caller-reply.js";

const STATUS_UNAUTHORIZED = 401;

/** Creates the response of the daemon itself to a request. */
export const createRejection = (
    message: IncomingMessage,
    opts: { readonly statusCode: number; readonly retryAfterMs?: number | undefined; },
): CallerReply => {
    const { requestId } = decodeCallerRequestHead(message.headers);
    const needsApiKey = opts.statusCode === STATUS_UNAUTHORIZED;
    const headers = encodeRejectionHeaders({ requestId, retryAfterMs: opts.retryAfterMs, needsApiKey });
    return { statusCode: opts.statusCode, headers, body: undefined, isFramed: true };
};
