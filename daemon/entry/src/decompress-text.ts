import { promisify } from "node:util";
import { inflateRaw } from "node:zlib";

const inflateRawAsync = promisify(inflateRaw);

/** Decompresses a text that a peer has compressed. Rejects if it is malformed or longer than the limit. */
export const decompressText = async (
    compressed: string,
    opts: { readonly maxBytes: number; },
): Promise<string> => {
    const bytes = await inflateRawAsync(Buffer.from(compressed, "base64"), { maxOutputLength: opts.maxBytes });
    return bytes.toString();
};
