import type { TenantQuota } from "./tenant-quota.js";

/** A customer whose callers share API keys, a priority and a quota. */
export interface Tenant {
    readonly name: string;
    /** Takes precedence over the priority of the route. 0 is the most urgent. */
    readonly priority: number | undefined;
    /** Undefined if its requests are not limited. */
    readonly quota: TenantQuota | undefined;
}
