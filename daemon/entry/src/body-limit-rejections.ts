import type { BodyLimit } from "@marigoldstall/core.http-body";
import type { Rejection } from "./rejection.js";

export const BODY_LIMIT_REJECTIONS: Readonly<Record<BodyLimit, Rejection>> = {
    "body-size": { statusCode: 413 },
    "total-size": { statusCode: 503, retryAfterMs: 500 },
};
