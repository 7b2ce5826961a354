import type { DaemonId, Decision, Outcome } from "@marigoldstall/core.types";
import type { ClaimReply } from "./claim-reply.js";
import type { ClaimRequest } from "./claim-request.js";
import type { SettleRequest } from "./settle-request.js";
import type { StoredResponse } from "./stored-response.js";

/** Effects of the ledger slice. */
export type LedgerEffect =
    | { readonly type: "send-claim"; readonly owner: DaemonId; readonly request: ClaimRequest; }
    | { readonly type: "send-settle"; readonly owner: DaemonId; readonly request: SettleRequest; }
    | { readonly type: "answer-claim"; readonly rpcId: string; readonly reply: ClaimReply; }
    | { readonly type: "answer-settle"; readonly rpcId: string; }
    | {
        /** The claim was granted, so routing can send the request. */
        readonly type: "route-request";
        readonly requestId: string;
    }
    | {
        /** Responds to the caller without routing the request. */
        readonly type: "answer-caller";
        readonly requestId: string;
        readonly outcome: Outcome;
        readonly statusCode: number;
        readonly reasonCode: string | undefined;
        readonly retryAfterMs: number | undefined;
        readonly response: StoredResponse | undefined;
    }
    | { readonly type: "log-decision"; readonly decision: Decision; };
