import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { BodyBytes } from "./body-bytes.js";

const HASHED_BODY_END_BYTES = 64 * 1_024;
const FINGERPRINT_LENGTH = 16;

/**
 * Identifies a request that comes again under another id: by its method, host, path with query, caller and body. Of a
 * large body, only both ends and the length count. The hash is cryptographic, so that no caller can make a request
 * that is taken for another one.
 */
export const fingerprintRequest = (message: IncomingMessage, body: BodyBytes | undefined): string => {
    const hash = createHash("sha256");
    const { method = "", url = "", headers } = message;
    hash.update(JSON.stringify([method, headers.host ?? "", url, headers.authorization ?? "", body?.length ?? -1]));
    if (body !== undefined) {
        hash.update(body.subarray(0, HASHED_BODY_END_BYTES));
        hash.update(body.subarray(Math.max(HASHED_BODY_END_BYTES, body.length - HASHED_BODY_END_BYTES)));
    }
    return hash.digest("base64url").slice(0, FINGERPRINT_LENGTH);
};
