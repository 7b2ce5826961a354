import type { ServerResponse } from "node:http";
import type { CallerReply } from "./caller-reply.js";

/** Writes a whole response. Throws if Node.js refuses a part of it. */
export const writeReply = (response: ServerResponse, reply: CallerReply): void => {
    if (!reply.isFramed) {
        response.useChunkedEncodingByDefault = false;
    }
    response.writeHead(reply.statusCode, [...reply.headers]);
    response.end(reply.body);
};
