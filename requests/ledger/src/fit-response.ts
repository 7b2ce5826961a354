import { responseBytes } from "./response-bytes.js";
import type { StoredResponse } from "./stored-response.js";

/** Drops the body of a response, or all of it, when it does not fit. The outcome itself is always kept. */
export const fitResponse = (response: StoredResponse | undefined, limitBytes: number): StoredResponse | undefined => {
    if (response === undefined || responseBytes(response) <= limitBytes) {
        return response;
    }
    const withoutBody = { ...response, bodyBase64: undefined };
    return responseBytes(withoutBody) <= limitBytes ? withoutBody : undefined;
};
