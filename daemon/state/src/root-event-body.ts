import type { AcceptedConfiguration, DaemonId, Evidence, LoadReport, VmList } from "@marigoldstall/core.types";
import type { Heartbeat } from "@marigoldstall/fleet.membership";
import type { PromiseReply, PromiseRequest } from "@marigoldstall/fleet.ownership";
import type { ClaimReply, ClaimRequest, SettleRequest, StoredResponse } from "@marigoldstall/requests.ledger";
import type { AttemptFailure } from "@marigoldstall/routing.state";
import type { LogRead } from "./log-read.js";
import type { RequestArrival } from "./request-arrival.js";

/** A root event without its context, which holds the time and the random number. */
export type RootEventBody =
    | { readonly type: "request-arrived"; readonly request: RequestArrival; }
    | { readonly type: "request-cancelled"; readonly requestId: string; }
    | {
        readonly type: "attempt-responded";
        readonly attemptId: string;
        readonly statusCode: number;
        readonly instanceId: string | undefined;
        readonly load: LoadReport | undefined;
        readonly draining: boolean;
        readonly notRun: boolean;
    }
    | {
        readonly type: "attempt-completed";
        readonly requestId: string;
        readonly attemptId: string;
        /** Response to store for repeated requests with the key; undefined for requests without a key. */
        readonly response: StoredResponse | undefined;
    }
    | { readonly type: "attempt-failed"; readonly attemptId: string; readonly failure: AttemptFailure; }
    | {
        readonly type: "load-probed";
        readonly address: string;
        readonly instanceId: string | undefined;
        readonly load: LoadReport | undefined;
        readonly draining: boolean;
    }
    | { readonly type: "routing-tick"; }
    | {
        /** Occurs several times per second. */
        readonly type: "tick";
        /** Backend servers with an unresponsive connection, to be probed before all others. */
        readonly checkAddresses: readonly string[];
    }
    | { readonly type: "second-tick"; }
    | { readonly type: "vm-list-read"; readonly vmList: VmList; }
    | { readonly type: "configuration-log-read"; readonly read: LogRead; }
    | { readonly type: "configuration-log-unavailable"; }
    | {
        readonly type: "configuration-fetched";
        readonly peerAddress: string;
        readonly configuration: AcceptedConfiguration | undefined;
    }
    | { readonly type: "ownership-log-read"; readonly read: LogRead; }
    | { readonly type: "ownership-log-unavailable"; }
    | {
        readonly type: "append-settled";
        readonly recordId: string;
        readonly result: "appended" | "failed" | "unknown";
    }
    | { readonly type: "promise-requested"; readonly rpcId: string; readonly request: PromiseRequest; }
    | { readonly type: "promise-answered"; readonly reply: PromiseReply; }
    | { readonly type: "claim-received"; readonly rpcId: string; readonly request: ClaimRequest; }
    | {
        readonly type: "claim-answered";
        readonly requestId: string;
        /** Daemon that the claim was sent to. */
        readonly owner: DaemonId;
        readonly reply: ClaimReply | undefined;
    }
    | { readonly type: "settle-received"; readonly rpcId: string; readonly request: SettleRequest; }
    | {
        readonly type: "settle-answered";
        readonly requestId: string;
        /** Daemon that the settlement was sent to. */
        readonly owner: DaemonId;
        readonly received: boolean;
    }
    | { readonly type: "heartbeat-received"; readonly rpcId: string; readonly heartbeat: Heartbeat; }
    | {
        readonly type: "heartbeat-answered";
        readonly peerAddress: string;
        readonly heartbeat: Heartbeat | undefined;
    }
    | { readonly type: "evidence-received"; readonly evidence: readonly Evidence[]; }
    | { readonly type: "stop-started"; };
