import { estimateResponseBytes } from "./estimate-response-bytes.js";
import type { StoredResponse } from "./stored-response.js";

/** Drops the body of a response, or the whole response, if it exceeds the limit. The outcome is stored regardless. */
export const trimResponse = (response: StoredResponse | undefined, limitBytes: number): StoredResponse | undefined => {
    if (response === undefined || estimateResponseBytes(response) <= limitBytes) {
        return response;
    }
    const withoutBody = { ...response, bodyBase64: undefined };
    return estimateResponseBytes(withoutBody) <= limitBytes ? withoutBody : undefined;
};
