import { endToEndHeaders } from "@marigoldstall/daemon.connections";
import { INTERNAL_HEADERS } from "@marigoldstall/platform.adapter";
import type { BufferedResponse } from "./buffered-response.js";
import type { CallerReply } from "./caller-reply.js";

/** Creates the response to a caller from that of a backend server. */
export const createRelayedReply = (backendResponse: BufferedResponse): CallerReply => {
    const { statusCode, rawHeaders, connectionHeader, body, collector, isFramed } = backendResponse;
    const headers = endToEndHeaders(rawHeaders, { connection: connectionHeader, excluded: INTERNAL_HEADERS });
    // Only the backend server knows whether a response without a length was truncated. An added Content-Length would
    // make a truncated one look complete, so the end of the connection delimits the body here as well.
    return {
        statusCode,
        headers: isFramed ? [...headers, "Content-Length", String(body.length)] : headers,
        body,
        collector,
        isFramed,
    };
};
