import type { IncomingMessage } from "node:http";

const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;
const STATUS_DIGITS = 3;
const HTTP_MAJOR_VERSION = 1;
// RFC 9112, section 4: tabs, spaces, visible characters, and bytes above 0x7f.
const REASON_PHRASE = /^[\t\x20-\x7e\x80-\xff]*$/;

type ResponseHead = Pick<IncomingMessage, "statusCode" | "statusMessage" | "httpVersion" | "httpVersionMajor">;

/**
 * Returns why a response that a server sent is not the final one to a request, undefined if it is. Node.js reports some
 * of them as responses: every status of three digits except interim ones, HTTP/0.9 and HTTP/2.0, and any reason phrase.
 * The server may have run the request, and nothing that such a head states can be relied on.
 */
export const findHeadFault = (head: ResponseHead): string | undefined => {
    const { statusCode = 0, statusMessage = "", httpVersion, httpVersionMajor } = head;
    if (!(statusCode >= MIN_FINAL_STATUS && statusCode <= MAX_FINAL_STATUS)) {
        return `response-status-invalid: ${String(statusCode).padStart(STATUS_DIGITS, "0")}`;
    }
    if (httpVersionMajor !== HTTP_MAJOR_VERSION) {
        return `response-version-unknown: HTTP/${httpVersion}`;
    }
    return REASON_PHRASE.test(statusMessage) ? undefined : "response-reason-phrase-invalid";
};
