import type { StoredResponse } from "./stored-response.js";

/** The owner's reply to a claim. Only `granted` allows the runner to send the request, and only once. */
export type ClaimReply =
    | { readonly type: "granted"; }
    | { readonly type: "in-progress"; }
    | { readonly type: "completed"; readonly response: StoredResponse | undefined; }
    | { readonly type: "unknown"; }
    | { readonly type: "mismatch"; }
    | { readonly type: "refused"; readonly reasonCode: string; readonly retryAfterMs: number | undefined; };
