import type { Decision, Evidence, Outcome } from "@marigoldstall/core.types";

/** Effects of the routing slice. */
export type RoutingEffect =
    | {
        readonly type: "start-attempt";
        readonly requestId: string;
        readonly attemptId: string;
        readonly attemptNumber: number;
        readonly service: string;
        readonly address: string;
        readonly deadlineAtMs: number;
        /** Send only on a connection that was just opened or has received bytes within the last 2 s. */
        readonly requireLiveConnection: boolean;
        /** After this long without a byte on the connection, the runtime checks it on a second connection. */
        readonly silenceLimitMs: number;
    }
    | { readonly type: "cancel-attempt"; readonly attemptId: string; readonly reason: string; }
    | {
        /** Relays the response of this attempt to the caller. */
        readonly type: "relay-attempt";
        readonly requestId: string;
        readonly attemptId: string;
    }
    | {
        readonly type: "reject-request";
        readonly requestId: string;
        readonly outcome: Exclude<Outcome, "completed">;
        readonly statusCode: number;
        readonly reasonCode: string;
        readonly retryAfterMs: number | undefined;
    }
    | {
        /** The request has ended: its claim can be settled and its buffers freed. */
        readonly type: "finish-request";
        readonly requestId: string;
        readonly outcome: Outcome;
    }
    | { readonly type: "close-connections"; readonly address: string; }
    | { readonly type: "publish-evidence"; readonly evidence: Evidence; }
    | { readonly type: "log-decision"; readonly decision: Decision; };
