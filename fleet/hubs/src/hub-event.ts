import type { LoadReport } from "@marigoldstall/core.types";
import type { StorePosition, ViewSummary } from "@marigoldstall/fleet.view";
import type { UsageReport } from "@marigoldstall/routing.quotas";
import type { Findings } from "./findings.js";
import type { StatusMessage } from "./status-message.js";
import type { UpdatesMessage } from "./updates-message.js";
import type { VmInfo } from "./vm-info.js";

/** Events of the hub reducer. `atMs` is the daemon's monotonic clock. */
export type HubEvent =
    | {
        readonly type: "hub-tick";
        readonly atMs: number;
        /** Summarizes the view for the next message, without the changes before `since`. */
        readonly summarize: (since: StorePosition | undefined) => ViewSummary;
        readonly listFindings: () => Findings;
        /** Counts of tenants' requests to report. */
        readonly reportUsage?: () => UsageReport | undefined;
        /** Tenants whose requests are granted one by one, as this VM decides as a hub. Undefined without quotas. */
        readonly metered?: readonly string[] | "all" | undefined;
    }
    | { readonly type: "findings-changed"; readonly atMs: number; }
    /** There are counts of tenants' requests to report. */
    | { readonly type: "usage-changed"; readonly atMs: number; }
    | { readonly type: "vms-found"; readonly atMs: number; readonly vms: readonly VmInfo[]; }
    | { readonly type: "status-received"; readonly atMs: number; readonly message: StatusMessage; }
    | { readonly type: "updates-received"; readonly atMs: number; readonly message: UpdatesMessage; }
    | {
        /** This VM received a load report directly from a backend server. */
        readonly type: "load-reported";
        readonly atMs: number;
        readonly instanceId: string;
        readonly load: LoadReport;
    }
    | { readonly type: "request-sent"; readonly atMs: number; readonly instanceId: string; }
    | {
        readonly type: "server-failed";
        readonly atMs: number;
        readonly instanceId: string;
        readonly weight: number;
    };
