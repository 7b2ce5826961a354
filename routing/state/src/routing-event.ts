import type { Evidence, LoadReport, Pressure, Targets, VmList } from "@marigoldstall/core.types";
import type { AttemptFailure } from "./attempt-failure.js";

/** Events of the routing slice. `atMs` is a time of the daemon's monotonic clock. */
export type RoutingEvent =
    | {
        readonly type: "request-arrived";
        readonly atMs: number;
        readonly random: number;
        readonly requestId: string;
        readonly service: string;
        readonly className: string;
        readonly deadlineAtMs: number;
        /** Attempt number stated by the caller; above 1, this daemon does not retry. */
        readonly callerAttempt: number;
        /** Whether the whole body is buffered, so that another attempt can send it again. */
        readonly bodyReplayable: boolean;
    }
    | {
        readonly type: "request-cancelled";
        readonly atMs: number;
        readonly random: number;
        readonly requestId: string;
    }
    | {
        /** Response headers arrived. */
        readonly type: "attempt-responded";
        readonly atMs: number;
        readonly random: number;
        readonly attemptId: string;
        readonly statusCode: number;
        readonly instanceId: string | undefined;
        readonly load: LoadReport | undefined;
        readonly draining: boolean;
        /** The backend server states that it did not run the request. */
        readonly notRun: boolean;
    }
    | {
        /** The end of the response arrived. */
        readonly type: "attempt-completed";
        readonly atMs: number;
        readonly random: number;
        readonly attemptId: string;
    }
    | {
        readonly type: "attempt-failed";
        readonly atMs: number;
        readonly random: number;
        readonly attemptId: string;
        readonly failure: AttemptFailure;
    }
    | { readonly type: "tick"; readonly atMs: number; readonly random: number; }
    | { readonly type: "vm-list-read"; readonly atMs: number; readonly vmList: VmList; }
    | { readonly type: "evidence-received"; readonly atMs: number; readonly evidence: readonly Evidence[]; }
    | { readonly type: "pressure-received"; readonly atMs: number; readonly pressure: readonly Pressure[]; }
    | {
        readonly type: "load-probed";
        readonly atMs: number;
        readonly random: number;
        readonly address: string;
        readonly instanceId: string | undefined;
        readonly load: LoadReport | undefined;
        readonly draining: boolean;
    }
    | { readonly type: "targets-changed"; readonly atMs: number; readonly targets: Targets; };
