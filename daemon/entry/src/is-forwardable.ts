import type { IncomingMessage } from "node:http";

// Node.js reads such paths and refuses to write them.
const UNSENDABLE_PATH = /[^\u0021-\u00ff]/;

/**
 * Whether a request can be sent to a server as it came. RFC 9112 asks to reject whitespace in front of the colon of a
 * header (section 5.1), as servers disagree about whose header it is.
 */
export const isForwardable = (message: IncomingMessage): boolean =>
    !UNSENDABLE_PATH.test(message.url ?? "")
    && message.rawHeaders.every((text, index) => index % 2 === 1 || (text !== "" && !text.includes(" ")));
