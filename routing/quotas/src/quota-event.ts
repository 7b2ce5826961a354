import type { TenantQuota } from "@marigoldstall/core.types";
import type { AdmissionVerdict } from "./admission-verdict.js";
import type { UsageReport } from "./usage-report.js";

interface Timed {
    readonly atMs: number;
}

/** Events of the quotas reducer. `atMs` is the daemon's monotonic clock. */
export type QuotaEvent =
    & Timed
    & (
        | { readonly type: "quotas-configured"; readonly quotas: ReadonlyMap<string, TenantQuota>; }
        | { readonly type: "hub-role-changed"; readonly isHub: boolean; }
        | {
            /** `share` is the part of the fleet that this hub hears. */
            readonly type: "metering-tick";
            readonly share: number;
        }
        | {
            /** `hubHost` is the host of this VM's hub, if it is another VM and heard. */
            readonly type: "query-tick";
            readonly hubHost: string | undefined;
        }
        | {
            readonly type: "admission-requested";
            readonly requestKey: string;
            readonly tenantName: string;
            readonly hubHost: string | undefined;
        }
        | {
            /** An admitted request has certainly not run. */
            readonly type: "admission-released";
            readonly tenantName: string;
            readonly admittedAtMs: number;
        }
        | {
            /** A member asks this hub. */
            readonly type: "quota-queried";
            readonly reporterId: string;
            readonly requestKey: string;
            readonly tenantName: string;
            readonly replyHost: string;
        }
        | {
            readonly type: "quota-answered";
            readonly requestKey: string;
            readonly verdict: AdmissionVerdict;
            readonly retryAfterMs: number;
        }
        | {
            /** A hub was heard. Its own zone's members learn from it which tenants are metered. */
            readonly type: "hub-heard";
            readonly vmId: string;
            readonly availabilityZone: string;
            readonly metered: readonly string[] | "all" | undefined;
        }
        | {
            readonly type: "usage-received";
            readonly report: UsageReport;
            /** Zone whose hub sent the report; undefined if it is one of a member of this hub's zone. */
            readonly zone: string | undefined;
        }
        /** A report was sent. */
        | { readonly type: "usage-reported"; }
    );
