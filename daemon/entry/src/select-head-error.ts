import type { IncomingMessage } from "node:http";
import { isForwardable } from "./is-forwardable.js";

const STATUS_BAD_REQUEST = 400;
const STATUS_HEADERS_TOO_LARGE = 431;

const countHeaderBytes = (message: IncomingMessage): number =>
    message.rawHeaders.reduce((bytes, text) => bytes + text.length, message.url?.length ?? 0);

/** Returns the status with which a request is rejected for its head, or undefined if the head is acceptable. */
export const selectHeadError = (
    message: IncomingMessage,
    opts: { readonly maxHeaderBytes: number; },
): number | undefined => {
    if (countHeaderBytes(message) > opts.maxHeaderBytes) {
        return STATUS_HEADERS_TOO_LARGE;
    }
    return isForwardable(message) ? undefined : STATUS_BAD_REQUEST;
};
