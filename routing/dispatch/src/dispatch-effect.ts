import type { DecisionRecord } from "./decision-record.js";

/** Effects of the dispatch reducer. */
export type DispatchEffect =
    | {
        readonly type: "start-attempt";
        readonly attemptId: string;
        readonly requestKey: string;
        readonly instanceId: string;
        readonly address: string;
        readonly deadlineAtMs: number;
        /** Name of the caller's tenant. */
        readonly tenantName: string | undefined;
        /** Whether the server is told the tenant in place of the caller's API key. */
        readonly hidesApiKey: boolean;
    }
    | {
        /** Sends a preflight check: a health check right before a request is sent to the server. */
        readonly type: "check-server";
        readonly attemptId: string;
        readonly instanceId: string;
        readonly address: string;
        readonly healthPath: string;
    }
    | {
        /** Checks on a new connection whether a server still runs, after a connection to it broke. */
        readonly type: "verify-server";
        readonly instanceId: string;
        readonly askedAtMs: number;
        readonly address: string;
        readonly healthPath: string;
    }
    | {
        /** Asks whether a request is within the quota of its tenant. */
        readonly type: "request-admission";
        readonly requestKey: string;
        readonly tenantName: string;
    }
    | {
        /** A request that was within the quota of its tenant has certainly not run. */
        readonly type: "release-admission";
        readonly tenantName: string;
        readonly admittedAtMs: number;
    }
    | { readonly type: "cancel-attempt"; readonly attemptId: string; }
    | { readonly type: "relay-response"; readonly requestKey: string; readonly attemptId: string; }
    | { readonly type: "discard-response"; readonly attemptId: string; }
    | {
        readonly type: "reject-request";
        readonly requestKey: string;
        readonly statusCode: number;
        readonly reason: string;
        readonly retryAfterMs: number | undefined;
    }
    | {
        readonly type: "probe-server";
        readonly instanceId: string;
        readonly address: string;
        readonly healthPath: string;
    }
    | {
        /** Asks the hub which servers suit a request. */
        readonly type: "query-loads";
        readonly service: string;
        readonly workMs: number;
        readonly responseBytes: number;
        readonly connectedInstanceIds: readonly string[];
    }
    | {
        /** Tells the other VMs of a failure that this VM has seen. */
        readonly type: "report-failure";
        readonly instanceId: string;
        readonly weight: number;
    }
    | {
        /** Asks the VM that counts the requests to a limited server for permission to send one. */
        readonly type: "request-permit";
        readonly attemptId: string;
        readonly instanceId: string;
        readonly availabilityZone: string;
    }
    | {
        readonly type: "answer-permit";
        /** Host of the VM that asked; undefined for this one. */
        readonly replyHost: string | undefined;
        readonly attemptId: string;
        readonly instanceId: string;
        readonly isGranted: boolean;
        readonly retryAfterMs: number;
    }
    | {
        /** What this VM tells the others about servers has changed, by a response to it or by another VM. */
        readonly type: "findings-changed";
        readonly source: "response" | "peer";
    }
    | { readonly type: "close-connections"; readonly instanceId: string; readonly address: string; }
    | { readonly type: "log-decision"; readonly decision: DecisionRecord; };
