import type { Decision } from "@marigoldstall/core.types";
import type { OwnershipMember } from "./ownership-member.js";
import type { PromiseReply } from "./promise-reply.js";
import type { PromiseRequest } from "./promise-request.js";

/** Effects that {@link reduceOwnership} returns. */
export type OwnershipEffect =
    | { readonly type: "append-ownership-record"; readonly recordId: string; readonly value: unknown; }
    | { readonly type: "request-promise"; readonly guardian: OwnershipMember; readonly request: PromiseRequest; }
    | { readonly type: "answer-promise"; readonly rpcId: string; readonly reply: PromiseReply; }
    | { readonly type: "log-decision"; readonly decision: Decision; };
