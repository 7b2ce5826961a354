import type { CallerReply } from "./caller-reply.js";

/** Answers a request whose response cannot be sent. The status promises nothing, as the request may have run. */
export const BAD_GATEWAY_REPLY: CallerReply = {
    statusCode: 502,
    headers: ["Content-Length", "0"],
    body: undefined,
    isFramed: true,
};
