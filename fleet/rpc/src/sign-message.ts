import { createHmac } from "node:crypto";

/** What is authenticated besides the body. The direction keeps an answer from being replayed as a request. */
interface SignMessageOptions {
    readonly key: string;
    readonly direction: "request" | "answer";
    readonly timestampMs: string;
    readonly nonce: string;
    /** Control address that the caller meant, so that a captured call cannot be replayed to another daemon. */
    readonly target: string;
}

/** HMAC-SHA256 of a control message. */
export const signMessage = (body: Buffer, opts: SignMessageOptions): Buffer =>
    createHmac("sha256", opts.key)
        .update(`${opts.direction}\n${opts.timestampMs}\n${opts.nonce}\n${opts.target}\n`)
        .update(body)
        .digest();
