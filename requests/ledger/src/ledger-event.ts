import type { DaemonId } from "@marigoldstall/core.types";
import type { ShareTerm } from "@marigoldstall/fleet.ownership";
import type { ClaimReply } from "./claim-reply.js";
import type { ClaimRequest } from "./claim-request.js";
import type { SettleRequest } from "./settle-request.js";
import type { StoredResponse } from "./stored-response.js";

/** Events of the ledger slice, at the owner of a key and at the daemon that received the request. */
export type LedgerEvent =
    | {
        /** The known terms changed, or the usable bound of a share that this daemon owns changed. */
        readonly type: "terms-changed";
        readonly atMs: number;
        readonly wallMs: number;
        /** Current and recent terms of all shares, ascending within a share. */
        readonly terms: readonly ShareTerm[];
        /** Usable bound of each share that this daemon owns. */
        readonly ownBoundsMs: ReadonlyMap<number, number>;
    }
    | {
        /** A caller's non-repeatable request with an idempotency key arrived at this daemon. */
        readonly type: "keyed-request-arrived";
        readonly atMs: number;
        readonly wallMs: number;
        readonly requestId: string;
        readonly service: string;
        readonly key: string;
        readonly fingerprint: string;
        readonly deadlineAtMs: number;
    }
    | {
        /** `owner` replied to a `send-claim`, or the call failed (`reply` is undefined). */
        readonly type: "claim-answered";
        readonly atMs: number;
        readonly wallMs: number;
        readonly requestId: string;
        readonly owner: DaemonId;
        readonly reply: ClaimReply | undefined;
    }
    | {
        /**
         * Routing has finished a request whose claim was granted to this daemon. Also ends a request that still waits
         * for its grant, for example because the caller disconnected; its outcome is then `not-run`.
         */
        readonly type: "request-finished";
        readonly atMs: number;
        readonly wallMs: number;
        readonly requestId: string;
        readonly outcome: "completed" | "not-run" | "unknown";
        readonly response: StoredResponse | undefined;
    }
    | {
        /** `owner` confirmed a `send-settle`, or the call failed (`received` is false). */
        readonly type: "settle-answered";
        readonly atMs: number;
        readonly requestId: string;
        readonly owner: DaemonId;
        readonly received: boolean;
    }
    | {
        readonly type: "claim-received";
        readonly atMs: number;
        readonly wallMs: number;
        readonly rpcId: string;
        readonly request: ClaimRequest;
    }
    | {
        readonly type: "settle-received";
        readonly atMs: number;
        readonly wallMs: number;
        readonly rpcId: string;
        readonly request: SettleRequest;
    }
    | { readonly type: "tick"; readonly atMs: number; readonly wallMs: number; };
