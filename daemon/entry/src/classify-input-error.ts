import type { InputFailure } from "./input-failure.js";

const PARSER_ERROR_PREFIX = "HPE_";
const STATUS_BAD_REQUEST = 400;
const STATUS_REQUEST_TIMEOUT = 408;
const STATUS_BODY_TOO_LARGE = 413;
const STATUS_HEADERS_TOO_LARGE = 431;

/** Returns what an error of a caller's connection says about the caller's input, or undefined if the connection broke. */
export const classifyInputError = (error: NodeJS.ErrnoException): InputFailure | undefined => {
    const { code = "", message } = error;
    const problem = `${code}: ${message}`;
    if (code === "ERR_HTTP_REQUEST_TIMEOUT") {
        return { kind: "caller-input-head-timeout", statusCode: STATUS_REQUEST_TIMEOUT, problem };
    }
    if (code === "HPE_HEADER_OVERFLOW") {
        return { kind: "caller-input-head-too-large", statusCode: STATUS_HEADERS_TOO_LARGE, problem };
    }
    if (code === "HPE_CHUNK_EXTENSIONS_OVERFLOW") {
        return { kind: "caller-input-malformed", statusCode: STATUS_BODY_TOO_LARGE, problem };
    }
    return code.startsWith(PARSER_ERROR_PREFIX)
        ? { kind: "caller-input-malformed", statusCode: STATUS_BAD_REQUEST, problem }
        : undefined;
};
