import { promisify } from "node:util";
import { deflateRaw } from "node:zlib";

const deflateRawAsync = promisify(deflateRaw);

/** Compresses a text once for all peers that fetch it, in base64. */
export class TextCompressor {
    private latest: { readonly text: string; readonly compressed: Promise<string>; } | undefined;

    compress(text: string): Promise<string> {
        if (this.latest?.text !== text) {
            const compressed = deflateRawAsync(Buffer.from(text)).then(bytes => bytes.toString("base64"));
            this.latest = { text, compressed };
        }
        return this.latest.compressed;
    }
}
