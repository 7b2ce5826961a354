import type { IncomingMessage } from "node:http";
import { BadBodyError } from "./bad-body-error.js";

/** Reads the body of a request as JSON, up to `maxBytes`. */
export const readJson = async (request: IncomingMessage, opts: { readonly maxBytes: number; }): Promise<unknown> => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        if (bytes > opts.maxBytes) {
            throw new BadBodyError(413, `body above ${opts.maxBytes} bytes`);
        }
        chunks.push(chunk);
    }
    try {
        return JSON.parse(Buffer.concat(chunks).toString("utf8"));
    }
    catch {
        throw new BadBodyError(400, "body is not JSON");
    }
};
