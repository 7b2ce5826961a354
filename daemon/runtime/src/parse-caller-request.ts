import { matchClass } from "@marigoldstall/config.targets";
import type { Targets } from "@marigoldstall/core.types";
import { singleHeader } from "@marigoldstall/daemon.connections";
import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import type { ParsedRequest } from "./parsed-request.js";
import type { Rejection } from "./rejection.js";
import { REJECTIONS } from "./rejections.js";

const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const MAX_TIMEOUT_MS = 3_600_000;
const MAX_ATTEMPT_NUMBER = 1_000;

const parseCount = (text: string, maximum: number): number | undefined => {
    const count = /^[1-9]\d{0,9}$/.test(text) ? Number(text) : NaN;
    return count <= maximum ? count : undefined;
};

/**
 * Whether a path belongs to the protocol between daemon and backend server, whose paths start with `/_`. A caller with
 * access to them could cancel requests of others. Paths with dot segments count too, and escapes are decoded, because
 * backend servers resolve both.
 */
const isReservedPath = (path: string): boolean => {
    const pathname = path.split("?", 1)[0] as string;
    if (!pathname.includes("_") && !pathname.includes("%") && !pathname.includes("/.") && !pathname.includes("\\")) {
        return false;
    }
    let decoded: string;
    try {
        decoded = decodeURIComponent(pathname);
    }
    catch {
        return true;
    }
    const segments = decoded.split(/[/\\]/);
    return segments.find(segment => segment !== "")?.startsWith("_") === true || segments.includes("..")
        || segments.includes(".");
};

/** Validates the request line and headers of a caller's request and matches its class. */
export const parseCallerRequest = (
    message: IncomingMessage,
    opts: { readonly targets: Targets; readonly defaultTimeoutMs: number; },
): Result<ParsedRequest, Rejection> => {
    const url = message.url ?? "";
    const { headers } = message;
    // An HTTP/1.0 caller cannot distinguish a truncated response from a complete one.
    if (message.httpVersion !== "1.1") {
        return err(REJECTIONS.httpVersion);
    }
    const slash = url.indexOf("/", 1);
    if (!url.startsWith("/") || url.includes("#") || headers.host === undefined) {
        return err(REJECTIONS.malformedRequest);
    }
    const queryStart = url.indexOf("?");
    const serviceEnd = slash < 0 || (queryStart >= 0 && queryStart < slash)
        ? queryStart < 0 ? url.length : queryStart
        : slash;
    const service = url.slice(1, serviceEnd);
    const rest = url.slice(serviceEnd);
    const path = rest.startsWith("/") ? rest : `/${rest}`;
    if (isReservedPath(path)) {
        return err(REJECTIONS.reservedPath);
    }
    const className = singleHeader(headers["marigoldstall-class"]);
    const targets = matchClass(opts.targets, { service, method: message.method ?? "", path, className });
    if (targets === undefined) {
        const isKnownService = opts.targets.classes.some(other => other.service === service);
        return err(isKnownService ? REJECTIONS.unknownClass : REJECTIONS.unknownService);
    }
    const idempotencyKey = singleHeader(headers["idempotency-key"]);
    if (idempotencyKey !== undefined && !UUID_V7.test(idempotencyKey)) {
        return err(REJECTIONS.invalidKey);
    }
    const timeout = singleHeader(headers["request-timeout-ms"]);
    const timeoutMs = timeout === undefined ? opts.defaultTimeoutMs : parseCount(timeout, MAX_TIMEOUT_MS);
    if (timeoutMs === undefined) {
        return err(REJECTIONS.invalidTimeout);
    }
    const attempt = singleHeader(headers["marigoldstall-attempt"]);
    const callerAttempt = attempt === undefined ? 1 : parseCount(attempt, MAX_ATTEMPT_NUMBER);
    if (callerAttempt === undefined) {
        return err(REJECTIONS.invalidAttempt);
    }
    return ok({ targets, path, idempotencyKey, callerAttempt, timeoutMs });
};
