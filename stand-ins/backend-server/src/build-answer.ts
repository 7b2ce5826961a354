import type { AnswerBody } from "./answer-body.js";

/** Renders the body of an answer, padded to `bytes` where it is shorter. */
export const buildAnswer = (
    answer: Omit<AnswerBody, "bytes" | "padding">,
    opts: { readonly bytes: number; },
): Buffer => {
    const render = (bytes: number, padding: string) => JSON.stringify({ ...answer, bytes, padding });
    let bytes = Math.max(opts.bytes, Buffer.byteLength(render(opts.bytes, "")));
    while (Buffer.byteLength(render(bytes, "")) > bytes) {
        bytes += 1;
    }
    return Buffer.from(render(bytes, "x".repeat(bytes - Buffer.byteLength(render(bytes, "")))));
};
