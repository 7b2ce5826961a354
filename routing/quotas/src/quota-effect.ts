import type { AdmissionVerdict } from "./admission-verdict.js";

/** Effects of the quotas reducer. */
export type QuotaEffect =
    | {
        readonly type: "admission-decided";
        readonly requestKey: string;
        readonly tenantName: string;
        readonly verdict: AdmissionVerdict;
        readonly retryAfterMs: number;
    }
    | {
        readonly type: "query-quota";
        readonly host: string;
        readonly requestKey: string;
        readonly tenantName: string;
    }
    | {
        readonly type: "answer-quota";
        readonly host: string;
        readonly requestKey: string;
        readonly verdict: AdmissionVerdict;
        readonly retryAfterMs: number;
    }
    /** There are counts to report. */
    | { readonly type: "usage-changed"; }
    | {
        readonly type: "log-metering";
        readonly isMetered: boolean;
        /** Absent if all tenants are meant. */
        readonly tenantName: string | undefined;
        readonly usedRequests: number;
        readonly limitRequests: number;
        readonly share: number;
    };
