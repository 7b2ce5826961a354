import type { DaemonId } from "@marigoldstall/core.types";
import type { ShareTerm } from "@marigoldstall/fleet.ownership";
import type { ClaimReply } from "./claim-reply.js";
import type { ClaimRequest } from "./claim-request.js";
import type { SettleRequest } from "./settle-request.js";
import type { StoredResponse } from "./stored-response.js";

/** Events of the ledger slice, at the owner of a key and at the daemon that received the request. */
export type LedgerEvent =
    | {
        /** The terms known to this daemon changed, or a bound that it may use was raised. */
        readonly type: "terms-changed";
        readonly atMs: number;
        readonly wallMs: number;
        /** Current and recent terms of all shares. */
        readonly terms: readonly ShareTerm[];
        /** Usable bound of each share that this daemon owns, by share. */
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
        /** The daemon that `send-claim` named answered, or the call failed (`reply` undefined). */
        readonly type: "claim-answered";
        readonly atMs: number;
        readonly wallMs: number;
        readonly requestId: string;
        readonly owner: DaemonId;
        readonly reply: ClaimReply | undefined;
    }
    | {
        /**
         * Routing is over for a request whose claim was granted to this daemon. With `not-run` it also ends a
         * request that still waits for its grant, such as when the caller has gone.
         */
        readonly type: "request-finished";
        readonly atMs: number;
        readonly wallMs: number;
        readonly requestId: string;
        readonly outcome: "completed" | "not-run" | "unknown";
        readonly response: StoredResponse | undefined;
    }
    | {
        /** The daemon that `send-settle` named confirmed the settlement, or the call failed. */
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
