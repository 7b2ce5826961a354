import { createHmac } from "node:crypto";

/** Fields that are signed with the body. The direction prevents a response from being replayed as a request. */
interface SignMessageOptions {
    readonly key: string;
    readonly direction: "request" | "answer";
    readonly timestampMs: string;
    readonly nonce: string;
    /** Control address of the called daemon, so that a captured call cannot be replayed to another one. */
    readonly target: string;
}

/** Returns the HMAC-SHA256 of a control message. */
export const signMessage = (body: Buffer, opts: SignMessageOptions): Buffer =>
    createHmac("sha256", opts.key)
        .update(`${opts.direction}\n${opts.timestampMs}\n${opts.nonce}\n${opts.target}\n`)
        .update(body)
        .digest();
