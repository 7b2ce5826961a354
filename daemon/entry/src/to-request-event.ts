import { decodeApiKey } from "@marigoldstall/platform.adapter";
import type { EntryEvent } from "./entry-event.js";
import { fingerprintRequest } from "./fingerprint-request.js";
import type { OpenRequest } from "./open-request.js";

/** The event for a request that has been read completely. */
export const toRequestEvent = (
    request: OpenRequest,
    opts: { readonly receivedAtMs: number; readonly deadlineMs: number | undefined; },
): Extract<EntryEvent, { readonly type: "request-arrived"; }> => {
    const { requestKey, requestId, message, body } = request;
    return {
        type: "request-arrived",
        requestKey,
        requestId,
        host: message.headers.host ?? "",
        path: message.url ?? "",
        ...opts,
        fingerprint: fingerprintRequest(message, body),
        apiKey: decodeApiKey(message.rawHeaders),
    };
};
