import type { IncomingMessage } from "node:http";
import { InvalidRequestError } from "./invalid-request-error.js";

/** Reads and parses a JSON request body of at most `maxBytes`. */
export const readJson = async (request: IncomingMessage, opts: { readonly maxBytes: number; }): Promise<unknown> => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        if (bytes > opts.maxBytes) {
            throw new InvalidRequestError(413, `request body exceeds ${opts.maxBytes} bytes`);
        }
        chunks.push(chunk);
    }
    try {
        return JSON.parse(Buffer.concat(chunks).toString("utf8"));
    }
    catch {
        throw new InvalidRequestError(400, "request body is not valid JSON");
    }
};
