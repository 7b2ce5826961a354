import type { QuotaBounds, TenantQuota } from "@marigoldstall/core.types";
import type { KnownReporter } from "./known-reporter.js";
import type { PendingAdmission } from "./pending-admission.js";
import type { TenantCount } from "./tenant-count.js";
import type { ZoneUsage } from "./zone-usage.js";

/** A VM from which this one learns what tenants use. */
interface HeardHub {
    readonly vmId: string;
    readonly heardAtMs: number;
}

/** State of the quotas reducer. */
export interface QuotaState {
    /** Undefined if quotas are not limited over all VMs. */
    readonly bounds: QuotaBounds | undefined;
    /** Identifies this process in its reports. */
    readonly reporterId: string;
    readonly availabilityZone: string;
    readonly startedAtMs: number;
    /** Quotas by the name of the tenant. */
    readonly quotas: ReadonlyMap<string, TenantQuota>;
    /** Requests that this VM has admitted, by tenant. */
    readonly own: ReadonlyMap<string, TenantCount>;
    readonly isHub: boolean;
    /** How often this VM has become the hub. */
    readonly hubTerm: number;
    /** Since when it is the hub. */
    readonly hubSinceMs: number;
    /** On a hub: what the members of its zone have reported, by reporter. */
    readonly members: ReadonlyMap<string, KnownReporter>;
    /** On a hub: requests of all zones, its own included. */
    readonly zones: ReadonlyMap<string, ZoneUsage>;
    /** On a hub: the part of the fleet that it hears, and since when that has been less than half. */
    readonly share: number;
    readonly minoritySinceMs: number | undefined;
    /** Tenants whose requests are granted one by one; `all` while too little is known. */
    readonly metered: ReadonlySet<string> | "all";
    /** On a member: when its hub last told which tenants are metered. */
    readonly meteringHeardAtMs: number;
    /** Latest hub of each zone that was heard. */
    readonly hubs: ReadonlyMap<string, HeardHub>;
    readonly pending: ReadonlyMap<string, PendingAdmission>;
    /** On a hub: until when callers of a tenant have been told to come back. */
    readonly returnsUntilMs: ReadonlyMap<string, number>;
    readonly reportSequence: number;
    readonly reportedAtMs: number;
    /** Whether the next report names all tenants. */
    readonly needsFullReport: boolean;
}
