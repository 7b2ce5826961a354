import * as Schema from "effect/Schema";
import type { AnswerCheck } from "./answer-check.js";

const decodeEcho = Schema.decodeUnknownSync(Schema.Struct({
    method: Schema.String,
    path: Schema.String,
    bodyDigest: Schema.String,
    bytes: Schema.Number,
}));

/** Compares the echo in an answer's body with the call that was sent. */
export const checkAnswer = (
    body: Buffer,
    opts: { readonly method: string; readonly nonce: string; readonly bodyDigest: string; },
): AnswerCheck => {
    try {
        const echo = decodeEcho(JSON.parse(body.toString("utf8")));
        if (echo.bytes !== body.length) {
            return "damaged";
        }
        const query = new URL(echo.path, "http://entry").searchParams;
        const own = query.get("nonce") === opts.nonce && echo.method === opts.method
            && echo.bodyDigest === opts.bodyDigest;
        return own ? "own" : "foreign";
    }
    catch {
        return "damaged";
    }
};
