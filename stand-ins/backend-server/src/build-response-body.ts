import type { ResponseBody } from "./response-body.js";

/** Serializes a response body, padded to `bytes` when it is shorter. */
export const buildResponseBody = (
    fields: Omit<ResponseBody, "bytes" | "padding">,
    opts: { readonly bytes: number; },
): Buffer => {
    const render = (bytes: number, padding: string) => JSON.stringify({ ...fields, bytes, padding });
    let bytes = Math.max(opts.bytes, Buffer.byteLength(render(opts.bytes, "")));
    while (Buffer.byteLength(render(bytes, "")) > bytes) {
        bytes += 1;
    }
    return Buffer.from(render(bytes, "x".repeat(bytes - Buffer.byteLength(render(bytes, "")))));
};
