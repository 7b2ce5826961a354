import type { IncomingMessage } from "node:http";

const FINAL_CHUNKED = /(?:^|,)\s*chunked\s*$/i;

/** Returns whether closing the connection ends the body of a response, so that a truncated one may look complete. */
export const endsWithConnection = ({ headers }: Pick<IncomingMessage, "headers">): boolean => {
    const transferEncoding = headers["transfer-encoding"];
    return transferEncoding === undefined
        ? headers["content-length"] === undefined
        : !FINAL_CHUNKED.test(transferEncoding);
};
