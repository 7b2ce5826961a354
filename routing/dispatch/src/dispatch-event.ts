import type { LoadReport, RoutingConfiguration, ServerDirectives, WarmUp } from "@marigoldstall/core.types";
import type { RegistrationChange } from "@marigoldstall/fleet.view";
import type { LoadSelection } from "./load-selection.js";
import type { ProbeDueAge } from "./probe-due-age.js";
import type { SuspectRequest } from "./suspect-request.js";

interface Timed {
    readonly atMs: number;
    /** Uniform random number in [0, 1). */
    readonly random: number;
}

/** Events of the dispatch reducer. `atMs` is the daemon's monotonic clock. */
export type DispatchEvent =
    & Timed
    & (
        | {
            readonly type: "request-arrived";
            readonly requestKey: string;
            readonly requestId: string;
            readonly host: string;
            readonly path: string;
            /** When the headers were received; the body may have taken longer. */
            readonly receivedAtMs: number;
            readonly deadlineMs: number | undefined;
            /** Equal for requests that are the same but for their id. */
            readonly fingerprint: string;
            /** API key of the caller. Empty if it cannot be one; undefined if there is none. */
            readonly apiKey?: string | undefined;
            /** Time since the configuration was known to be the newest. Default: 0. */
            readonly configurationAgeMs?: number | undefined;
        }
        | {
            /** Whether a request is within the quota of its tenant. `unknown`: nobody answered who could tell. */
            readonly type: "admission-decided";
            readonly requestKey: string;
            readonly tenantName: string;
            readonly verdict: "admitted" | "exceeded" | "unknown";
            readonly retryAfterMs: number;
        }
        | { readonly type: "caller-left"; readonly requestKey: string; }
        | {
            /** A preflight check, the health check right before a request is sent, was answered or failed. */
            readonly type: "server-checked";
            readonly attemptId: string;
            readonly isAnswered: boolean;
            readonly isHealthy: boolean;
            readonly load: LoadReport | undefined;
            readonly directives?: ServerDirectives | undefined;
        }
        | {
            /** A complete response was received. */
            readonly type: "attempt-answered";
            readonly attemptId: string;
            readonly statusCode: number;
            readonly notRun: boolean;
            readonly bodyBytes: number;
            /**
             * Whether the response cannot be relayed without closing the caller's connection, on which later requests are
             * in progress.
             */
            readonly cutsOtherRequests: boolean;
            readonly load: LoadReport | undefined;
            readonly directives?: ServerDirectives | undefined;
        }
        | {
            /** `unsent`: no byte was sent. `lost`: no complete response of this server to this request was received. */
            readonly type: "attempt-failed";
            readonly attemptId: string;
            readonly failure: "unsent" | "lost";
            readonly reason: string;
            /** Whether the connection broke while the server had the request. */
            readonly isConnectionBroken?: boolean | undefined;
            readonly directives?: ServerDirectives | undefined;
        }
        | {
            readonly type: "loads-received";
            readonly loads: readonly {
                readonly instanceId: string;
                readonly load: LoadReport;
                readonly measuredAtMs: number;
                readonly warmUp?: WarmUp | undefined;
            }[];
            readonly sentRequests: readonly { readonly instanceId: string; readonly sentAtMs: number; }[];
            readonly failures: readonly { readonly instanceId: string; readonly weight: number; }[];
            /** VM that sent the message with these updates. */
            readonly vmId: string;
        }
        | {
            /** This hub has recommended a server to a VM, which will probably send its request there. */
            readonly type: "server-recommended";
            readonly instanceId: string;
            readonly vmId: string;
        }
        | {
            /** Another VM tells of limits that servers stated. */
            readonly type: "limits-learned";
            readonly limits: readonly {
                readonly instanceId: string;
                readonly startedAtUnixMs: number;
                readonly perSecond: number | undefined;
                readonly statedAtMs: number;
            }[];
        }
        | {
            /** Another VM tells of servers that have said that they are about to end. */
            readonly type: "leaving-learned";
            readonly servers: readonly { readonly instanceId: string; readonly startedAtUnixMs: number; }[];
        }
        | {
            /** Another VM tells of requests under which servers ended. */
            readonly type: "suspects-learned";
            readonly suspects: readonly SuspectRequest[];
        }
        | {
            /** A VM asks this one, which grants the permits for a limited server, for a permit. */
            readonly type: "permit-requested";
            readonly attemptId: string;
            readonly instanceId: string;
            /** Host of the VM that asks; undefined for this one. */
            readonly replyHost: string | undefined;
            /** Share of the limit that this VM may grant. */
            readonly share: number;
        }
        | {
            readonly type: "permit-answered";
            readonly attemptId: string;
            readonly instanceId: string;
            readonly isGranted: boolean;
            readonly retryAfterMs: number;
        }
        | ({ readonly type: "loads-answered"; } & LoadSelection)
        | { readonly type: "resumed"; readonly uncountedMs: number; }
        /** The process was asked to stop. What it sends from now on has to be answered before it ends. */
        | { readonly type: "process-stopping"; readonly endsAtMs: number; }
        /** The process ends. It sends no further request. */
        | { readonly type: "process-ending"; }
        | { readonly type: "load-source-changed"; readonly loadQueryIntervalMs: number | undefined; }
        | {
            readonly type: "probe-answered";
            readonly instanceId: string;
            readonly isHealthy: boolean;
            readonly load: LoadReport | undefined;
            readonly directives?: ServerDirectives | undefined;
        }
        | {
            /** Whether a server still runs, after a connection to it broke. */
            readonly type: "server-verified";
            readonly instanceId: string;
            /** When the check was asked for. */
            readonly askedAtMs: number;
            /** `gone`: nothing listens at its address, or another server does. `unknown`: there was no answer. */
            readonly result: "running" | "gone" | "unknown";
        }
        | { readonly type: "probe-failed"; readonly instanceId: string; }
        | {
            readonly type: "idle-connections-changed";
            readonly instanceId: string;
            readonly idleConnections: number;
        }
        | { readonly type: "servers-changed"; readonly changes: readonly RegistrationChange[]; }
        | { readonly type: "configuration-adopted"; readonly configuration: RoutingConfiguration; }
        /** No request may be sent to a server of these zones, and of no others. */
        | { readonly type: "zones-evacuated"; readonly zones: readonly string[]; }
        | { readonly type: "vm-count-changed"; readonly vmCount: number; }
        | {
            readonly type: "dispatch-tick";
            /** Undefined when this VM probes no server. */
            readonly probeDueAgeMs: ProbeDueAge | undefined;
        }
    );
