import * as Schema from "effect/Schema";
import type { ResponseCheck } from "./response-check.js";

const decodeEcho = Schema.decodeUnknownSync(Schema.Struct({
    method: Schema.String,
    path: Schema.String,
    bodyDigest: Schema.String,
    bytes: Schema.Number,
}));

/** Compares the request echoed in a response body with the call that was sent. */
export const checkResponse = (
    body: Buffer,
    opts: { readonly method: string; readonly nonce: string; readonly bodyDigest: string; },
): ResponseCheck => {
    try {
        const echo = decodeEcho(JSON.parse(body.toString("utf8")));
        if (echo.bytes !== body.length) {
            return "damaged";
        }
        const query = new URL(echo.path, "http://entry").searchParams;
        const matchesCall = query.get("nonce") === opts.nonce && echo.method === opts.method
            && echo.bodyDigest === opts.bodyDigest;
        return matchesCall ? "own" : "foreign";
    }
    catch {
        return "damaged";
    }
};
