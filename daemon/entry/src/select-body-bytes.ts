import type { IncomingMessage } from "node:http";

/** Returns the length that a request announces for its body, infinite for a chunked one. */
export const selectBodyBytes = ({ headers }: Pick<IncomingMessage, "headers">): number => {
    const length = headers["content-length"];
    return length === undefined ? Infinity : Number(length);
};
