import type { IncomingMessage } from "node:http";
import { announcesForbiddenBody } from "./announces-forbidden-body.js";

/**
 * Returns the headers of a response to forward, without the length of a body that it cannot have. A caller that reads by
 * the stated length would wait for that body.
 */
export const withoutForbiddenLength = (response: IncomingMessage): readonly string[] => {
    const { rawHeaders } = response;
    if (!announcesForbiddenBody(response)) {
        return rawHeaders;
    }
    return rawHeaders.filter((text, index) =>
        rawHeaders[index - index % 2]?.trimEnd().toLowerCase() !== "content-length"
    );
};
